//! Request keys: claims at their keepers.

use super::*;

impl Broker {
    /// A request with a key wants to run. The answer comes as [`Action::Claimed`] with the number given back.
    pub fn claim(&mut self, key: u64, age_ms: Option<u64>, now: Time) -> (u64, Vec<Action>) {
        self.wake(now);
        let number = self.lessee.next_id();
        let delivery = (u64::from(self.me.0) << 32) ^ number;
        let claim = Claim { key, delivery, age_ms };
        let claiming = Claiming { claim, began: now, asked: now, took: Vec::new(), proved: false };
        self.claiming.insert(number, claiming);
        self.ask_keeper(number, now);
        (number, self.drain(now))
    }

    /// The keepers of a key, the same order for every box: those of the key's home hall, then this hall's.
    fn keepers(&self, key: u64) -> Vec<BoxId> {
        let halls: Vec<&String> = self.boxes.iter().filter(|(_, b)| !b.is_empty()).map(|(hall, _)| hall).collect();
        let ids: Vec<BoxId> = halls.iter().map(|h| BoxId::of(h)).collect();
        let home = owner(key, &ids).and_then(|id| halls.iter().find(|h| BoxId::of(h) == id));
        let mut keepers = Vec::new();
        if let Some(home) = home.filter(|h| ***h != self.hall) {
            keepers.extend(ranked(key, &self.boxes[*home], KEEPERS));
        }
        keepers.extend(ranked(key, self.hall_boxes(), KEEPERS));
        keepers
    }

    /// Asks the first keeper that hasn't answered; the claim is made when all have.
    ///
    /// Every keeper must answer: a silent one may be remembering another delivery. It is asked again
    /// until it answers or the view no longer holds it.
    fn ask_keeper(&mut self, number: u64, now: Time) {
        let Some(claiming) = self.claiming.get(&number) else { return };
        let claim = claiming.claim;
        let next = self.keepers(claim.key).into_iter().find(|k| !claiming.took.contains(k));
        let over = now.since(claiming.began) >= CLAIM_MOST_MS;
        match next {
            Some(_) if over => self.end_claim(number, Verdict::Unproved),
            Some(keeper) => {
                if let Some(claiming) = self.claiming.get_mut(&number) {
                    claiming.asked = now;
                }
                self.tell(keeper, Message::Claim(number, claim));
            }
            None => {
                let verdict = if claiming.proved { Verdict::Fresh } else { Verdict::Unproved };
                self.end_claim(number, verdict);
            }
        }
    }

    pub(super) fn take_verdict(&mut self, from: BoxId, number: u64, verdict: Verdict, now: Time) {
        let Some(claiming) = self.claiming.get_mut(&number) else { return };
        if claiming.took.contains(&from) {
            return;
        }
        if verdict == Verdict::Repeat {
            self.end_claim(number, Verdict::Repeat);
            return;
        }
        claiming.took.push(from);
        claiming.proved |= verdict == Verdict::Fresh;
        self.ask_keeper(number, now);
    }

    fn end_claim(&mut self, number: u64, verdict: Verdict) {
        let Some(claiming) = self.claiming.remove(&number) else { return };
        if verdict == Verdict::Fresh {
            self.claimed.insert(number, (claiming.claim, claiming.took));
        } else {
            self.unclaim_at(&claiming.claim, &claiming.took);
        }
        self.out.push(Action::Claimed(number, verdict));
    }

    fn unclaim_at(&mut self, claim: &Claim, keepers: &[BoxId]) {
        for keeper in keepers {
            self.tell(*keeper, Message::Unclaim(*claim));
        }
    }

    /// The claimed request has ended; `ran` is false when it certainly did not run.
    pub fn finish_claim(&mut self, number: u64, ran: bool, now: Time) -> Vec<Action> {
        if let Some((claim, keepers)) = self.claimed.remove(&number) {
            if !ran {
                self.unclaim_at(&claim, &keepers);
            }
        }
        self.drain(now)
    }

    pub(super) fn ask_keepers_again(&mut self, now: Time) {
        let silent = |c: &Claiming| now.since(c.asked) >= CLAIM_MS;
        let numbers: Vec<u64> = self.claiming.iter().filter(|(_, c)| silent(c)).map(|(n, _)| *n).collect();
        for number in numbers {
            self.ask_keeper(number, now);
        }
    }
}
