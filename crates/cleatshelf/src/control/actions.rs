//! Carries out the actions of the decision logic.

use super::*;

impl Control {
    pub(super) fn send(&mut self, to: BoxId, envelope: &Envelope, context: &mut Context<Self>) {
        let Some(peer) = self.detector.peer(to) else { return };
        let (key, me) = (&self.key, &self.settings.me.name);
        let open = || {
            let control = context.address();
            let on_lost = Box::new(move || control.do_send(ConnectionLost(to)));
            (peer.address, Link::open(key, me, &peer.name, peer.address, on_lost))
        };
        let link = self.links.entry(to).or_insert_with(open);
        if link.0 != peer.address {
            *link = open();
        }
        link.1.send(envelope);
        self.sent_messages += 1;
    }

    pub(super) fn run_policy_actions(&mut self, actions: Vec<Action>, context: &mut Context<Self>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(to, &Envelope::Policy(message), context),
                Action::Granted { id, server, expires, .. } => self.on_granted(id, server, expires, context),
                Action::Refused(id, refusal) => self.on_refused(id, refusal),
                Action::Recalled(id) => {
                    if let Some(recall) = self.recalls.remove(&id) {
                        // An error means that the request has just ended, so there is nothing left to recall.
                        let _ = recall.send(());
                    }
                }
                Action::Claimed(id, verdict) => self.on_claimed(id, verdict, context),
                Action::Log(event, detail) => self.log_event(event, &detail),
            }
        }
    }

    fn on_granted(&mut self, id: u64, server: ServerId, expires: Time, context: &mut Context<Self>) {
        let Some((number, reply)) = self.pending.remove(&id) else { return };
        let Some(upstream) = self.broker.layout().server(server).cloned() else {
            // The server is known to a newer release that this box doesn't have yet: the caller should retry soon.
            let refusal = Refusal { reason: policy::Reason::NoServer, retry_ms: 1_000 };
            let _ = reply.send(Err(refusal));
            self.end_lease(number, None, context);
            return;
        };
        let (recall, recalled) = oneshot::channel();
        self.recalls.insert(id, recall);
        let grant = LeaseGrant { server: upstream, permit: Permit::new(expires), recalled };
        if reply.send(Ok(grant)).is_err() {
            // The caller has gone away; the traffic thread's `Abandon` is on its way and will find no lease.
            self.end_lease(number, None, context);
        }
    }

    pub(super) fn on_refused(&mut self, id: u64, refusal: Refusal) {
        if let Some((number, reply)) = self.pending.remove(&id) {
            self.lease_ids.remove(&number);
            let why = format!("{:?}", refusal.reason);
            metrics::counter!("cleatshelf_refusals_total", "reason" => why).increment(1);
            let _ = reply.send(Err(refusal));
        }
    }

    /// Returns or abandons the lease that the traffic thread knows by `number`.
    pub(super) fn end_lease(&mut self, number: u64, report: Option<policy::Report>, context: &mut Context<Self>) {
        let Some(id) = self.lease_ids.remove(&number) else { return };
        self.pending.remove(&id);
        self.recalls.remove(&id);
        let now = self.now();
        let actions = match report {
            Some(report) => self.broker.return_lease(id, report, now),
            None => self.broker.abandon(id, now),
        };
        self.run_policy_actions(actions, context);
    }

    fn on_claimed(&mut self, id: u64, verdict: Verdict, context: &mut Context<Self>) {
        let Some((number, reply)) = self.claims.remove(&id) else { return };
        if verdict == Verdict::Repeat {
            telemetry::emit(Event::RepeatRefused, format_args!("claim={id}"));
        }
        if verdict != Verdict::Fresh {
            self.claim_ids.remove(&number);
        }
        if reply.send(verdict).is_err() && verdict == Verdict::Fresh {
            self.end_claim(number, false, context);
        }
    }

    pub(super) fn end_claim(&mut self, number: u64, ran: bool, context: &mut Context<Self>) {
        if let Some(id) = self.claim_ids.remove(&number) {
            let actions = self.broker.finish_claim(id, ran, self.now());
            self.run_policy_actions(actions, context);
        }
    }

    pub(super) fn run_fleet_actions(&mut self, actions: Vec<fleet::Action>, context: &mut Context<Self>) {
        for action in actions {
            match action {
                fleet::Action::Send(to, message) => self.send(to, &Envelope::Fleet(message), context),
                fleet::Action::ViewChanged => {
                    self.update_watch_role();
                    let actions = self.broker.set_boxes(
                        self.detector.eligible_boxes(),
                        self.detector.leaving_boxes(),
                        self.now(),
                    );
                    self.run_policy_actions(actions, context);
                }
                fleet::Action::Upstream(server, leaving) => {
                    let actions = self.broker.set_upstream_leaving(server, leaving, self.now());
                    self.run_policy_actions(actions, context);
                }
                fleet::Action::Gossip(change) => self.detector.gossip(change),
                fleet::Action::RefusedElsewhere(release, reason) => {
                    let actions = self.releases.on_refused_elsewhere(release, &reason);
                    self.run_fleet_actions(actions, context);
                }
                fleet::Action::Adopt(release, catalog) => self.adopt_release(&release, *catalog, context),
                fleet::Action::Fetch(digests) => self.fetch_parts(digests, context),
                fleet::Action::Log(event, detail) => self.log_event(event, &detail),
            }
        }
    }

    fn adopt_release(&mut self, release: &catalog::Release, catalog: catalog::Catalog, context: &mut Context<Self>) {
        let number = release.manifest.number;
        let current = self.snapshot.read().map_or(0, |s| s.release);
        if number < current {
            self.log_event(Event::ReleaseOrderBroken, &format!("from={current} to={number}"));
            return;
        }
        metrics::gauge!("cleatshelf_release_number").set(number as f64);
        let layout = Rc::new(Layout::from_catalog(&catalog));
        let mut limiter = LabelLimiter::new(MAX_CUSTOMER_LABELS);
        let labels = catalog.customers.iter().map(|c| limiter.label(&c.name)).collect();
        self.update_snapshot(|snapshot| {
            snapshot.catalog = catalog;
            snapshot.labels = labels;
            snapshot.release = number;
        });
        let actions = self.broker.set_layout(layout, self.now());
        self.run_policy_actions(actions, context);
        let release_id = self.releases.release_id();
        for to in self.detector.random_alive(RELEASE_FANOUT) {
            // An `Ack` carries the release without requesting a reply.
            let message = fleet::Message::Ack { number: 0, order: release_id, changes: Vec::new() };
            self.send(to, &Envelope::Fleet(message), context);
        }
    }
}
