//! Message handlers of the control actor.

use super::*;

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK_INTERVAL, Self::tick);
        self.update_watch_role();
        let actions = self.broker.set_boxes(self.detector.eligible_boxes(), self.detector.leaving_boxes(), self.now());
        self.run_policy_actions(actions, context);
    }
}

impl Handler<Traffic> for Control {
    type Result = ();

    fn handle(&mut self, Traffic(request): Traffic, context: &mut Self::Context) {
        let now = self.now();
        match request {
            ControlRequest::Admit { number, customer, reply } => {
                let admitted = self.broker.admit_request(customer, now);
                if admitted {
                    self.admitted.insert(number, customer);
                }
                // If the caller has gone away, its `Finish` follows.
                let _ = reply.send(admitted);
            }
            ControlRequest::Finish { number, tokens } => {
                if let Some(customer) = self.admitted.remove(&number) {
                    self.broker.finish_request(customer, tokens, now);
                }
            }
            ControlRequest::Acquire { number, acquire, reply } => {
                let (id, actions) = self.broker.acquire(acquire, now);
                self.pending.insert(id, (number, reply));
                self.lease_ids.insert(number, id);
                self.run_policy_actions(actions, context);
            }
            ControlRequest::Abandon(number) => self.end_lease(number, None, context),
            ControlRequest::ReturnLease(number, report) => self.end_lease(number, Some(report), context),
            ControlRequest::Claim { number, key, age_ms, reply } => {
                let (id, actions) = self.broker.claim(key, age_ms, now);
                self.claims.insert(id, (number, reply));
                self.claim_ids.insert(number, id);
                self.run_policy_actions(actions, context);
            }
            ControlRequest::EndClaim(number, ran) => self.end_claim(number, ran, context),
        }
    }
}

impl Handler<Inbound> for Control {
    type Result = ();

    fn handle(&mut self, Inbound(from, envelope): Inbound, context: &mut Self::Context) {
        match envelope {
            Envelope::Fleet(message) => self.on_fleet_message(from, &message, context),
            Envelope::Policy(message) => {
                let actions = self.broker.receive(from, message, self.now());
                self.run_policy_actions(actions, context);
            }
        }
    }
}

impl Handler<ConnectionLost> for Control {
    type Result = ();

    fn handle(&mut self, ConnectionLost(id): ConnectionLost, context: &mut Self::Context) {
        let actions = self.detector.on_connection_lost(id, self.now());
        self.run_fleet_actions(actions, context);
    }
}

impl Handler<Stop> for Control {
    type Result = ();

    fn handle(&mut self, _: Stop, context: &mut Self::Context) {
        let running = self.running.load(Ordering::Relaxed);
        telemetry::emit(Event::StopBegun, format_args!("running={running}"));
        self.update_snapshot(|snapshot| snapshot.stopping = true);
        let actions = self.detector.leave();
        self.run_fleet_actions(actions, context);
    }
}

impl Handler<GetStatus> for Control {
    type Result = actix::MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Self::Context) -> Self::Result {
        actix::MessageResult(Box::new(self.status()))
    }
}

impl Handler<GetExplanation> for Control {
    type Result = Result<Explanation, String>;

    fn handle(&mut self, query: GetExplanation, _: &mut Self::Context) -> Self::Result {
        self.explain(&query)
    }
}
