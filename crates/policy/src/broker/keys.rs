//! Request keys: claims at the key's owners.

use super::*;

impl Broker {
    /// Claims a request key for a request that is about to run. The result comes as [`Action::Claimed`] with
    /// the returned number.
    pub fn claim(&mut self, key: u64, age_ms: Option<u64>, now: Time) -> (u64, Vec<Action>) {
        self.check_for_pause(now);
        let number = self.lessee.next_id();
        let delivery = (u64::from(self.me.0) << 32) ^ number;
        let claim = Claim { key, delivery, age_ms };
        let pending =
            PendingClaim { claim, started: now, last_sent: now, accepted_by: Vec::new(), proved_fresh: false };
        self.pending_claims.insert(number, pending);
        self.send_claim(number, now);
        (number, self.drain(now))
    }

    /// Returns the owners of a key in the same order for every box: those of the key's home hall, then this
    /// hall's.
    fn key_owners(&self, key: u64) -> Vec<BoxId> {
        let halls: Vec<&String> = self.boxes.iter().filter(|(_, b)| !b.is_empty()).map(|(hall, _)| hall).collect();
        let ids: Vec<BoxId> = halls.iter().map(|h| BoxId::of(h)).collect();
        let home = owner(key, &ids).and_then(|id| halls.iter().find(|h| BoxId::of(h) == id));
        let mut owners = Vec::new();
        if let Some(home) = home.filter(|h| ***h != self.hall) {
            owners.extend(ranked(key, &self.boxes[*home], KEY_OWNERS_PER_HALL));
        }
        owners.extend(ranked(key, self.hall_boxes(), KEY_OWNERS_PER_HALL));
        owners
    }

    /// Sends the claim to the first key owner that has not answered. The claim is resolved once all have.
    ///
    /// Every key owner must answer, since a silent one may have recorded another delivery. It is asked again
    /// until it answers or is no longer in the view.
    fn send_claim(&mut self, number: u64, now: Time) {
        let Some(pending) = self.pending_claims.get(&number) else { return };
        let claim = pending.claim;
        let next_owner = self.key_owners(claim.key).into_iter().find(|k| !pending.accepted_by.contains(k));
        let over = now.since(pending.started) >= CLAIM_TIMEOUT_MS;
        match next_owner {
            Some(_) if over => self.resolve_claim(number, Verdict::Unproved),
            Some(owner) => {
                if let Some(pending) = self.pending_claims.get_mut(&number) {
                    pending.last_sent = now;
                }
                self.send(owner, Message::Claim(number, claim));
            }
            None => {
                let verdict = if pending.proved_fresh { Verdict::Fresh } else { Verdict::Unproved };
                self.resolve_claim(number, verdict);
            }
        }
    }

    pub(super) fn on_verdict(&mut self, from: BoxId, number: u64, verdict: Verdict, now: Time) {
        let Some(pending) = self.pending_claims.get_mut(&number) else { return };
        if pending.accepted_by.contains(&from) {
            return;
        }
        if verdict == Verdict::Repeat {
            self.resolve_claim(number, Verdict::Repeat);
            return;
        }
        pending.accepted_by.push(from);
        pending.proved_fresh |= verdict == Verdict::Fresh;
        self.send_claim(number, now);
    }

    fn resolve_claim(&mut self, number: u64, verdict: Verdict) {
        let Some(pending) = self.pending_claims.remove(&number) else { return };
        if verdict == Verdict::Fresh {
            self.granted_claims.insert(number, (pending.claim, pending.accepted_by));
        } else {
            self.send_unclaims(&pending.claim, &pending.accepted_by);
        }
        self.actions.push(Action::Claimed(number, verdict));
    }

    fn send_unclaims(&mut self, claim: &Claim, owners: &[BoxId]) {
        for key_owner in owners {
            self.send(*key_owner, Message::Unclaim(*claim));
        }
    }

    /// Ends a granted claim. `ran` is false if the request certainly did not run.
    pub fn finish_claim(&mut self, number: u64, ran: bool, now: Time) -> Vec<Action> {
        if let Some((claim, owners)) = self.granted_claims.remove(&number) {
            if !ran {
                self.send_unclaims(&claim, &owners);
            }
        }
        self.drain(now)
    }

    pub(super) fn resend_claims(&mut self, now: Time) {
        let silent = |c: &PendingClaim| now.since(c.last_sent) >= CLAIM_RESEND_INTERVAL_MS;
        let numbers: Vec<u64> = self.pending_claims.iter().filter(|(_, c)| silent(c)).map(|(n, _)| *n).collect();
        for number in numbers {
            self.send_claim(number, now);
        }
    }
}
