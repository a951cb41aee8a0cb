//! Reads the platform: manifest, parts, membership list.

use super::*;

impl Control {
    pub(super) fn is_watcher(&self) -> bool {
        let boxes = self.probe.eligible_boxes();
        let alive = boxes.get(&self.settings.me.hall).map_or(&[][..], Vec::as_slice);
        watchers(alive).contains(&self.settings.me.id())
    }

    pub(super) fn ask_platform(&mut self, context: &mut Context<Self>) {
        let now = self.now();
        let young = now.since(self.began) < SETTLE_MS / 2 && !self.settings.peers.is_empty();
        if young && self.spread.order().is_none() {
            // Peers may have the whole release at hand; the platform would have to be asked part by part.
            return;
        }
        if now < self.platform.not_before {
            return;
        }
        let watcher = self.platform.watcher;
        if !self.platform.busy {
            self.read_manifest(watcher && self.platform.revision > 0, context);
        }
        let never_read = self.platform.list_at == Time(0);
        if !self.platform.listing && now >= self.platform.list_at && (watcher || never_read) {
            self.read_listing(context);
        }
    }

    /// The boxes changed, and with them perhaps who holds the watch.
    pub(super) fn settle_watch(&mut self) {
        let watcher = self.is_watcher();
        if watcher == self.platform.watcher {
            return;
        }
        self.platform.watcher = watcher;
        telemetry::emit(Event::WatchRole, format_args!("watcher={watcher}"));
        if watcher {
            // A box without the watch reads seldom; whoever takes the watch over reads at once.
            self.platform.not_before = Time(0);
        }
    }

    fn read_manifest(&mut self, watch: bool, context: &mut Context<Self>) {
        let now = self.now();
        if !self.allowance.try_acquire(now) {
            return;
        }
        self.platform.busy = true;
        let source = Rc::clone(&self.source);
        let since = self.platform.revision;
        let ask = async move {
            if watch {
                source.watch(MANIFEST_KEY, since).await
            } else {
                source.get(MANIFEST_KEY).await
            }
        };
        context.spawn(ask.into_actor(self).map(move |answer, this, context| this.take_manifest(answer, context)));
    }

    fn take_manifest(&mut self, answer: Result<Option<Value>, SourceError>, context: &mut Context<Self>) {
        let now = self.now();
        self.platform.busy = false;
        let value = match answer {
            Ok(value) => {
                self.platform_answered();
                value
            }
            Err(trouble) => {
                self.platform_trouble(&trouble);
                return;
            }
        };
        if !self.is_watcher() {
            self.platform.not_before = now.after(jitter(DIRECT_MS));
        } else if self.platform.revision == 0 && value.is_none() {
            self.platform.not_before = now.after(jitter(TROUBLE_MOST_MS / 8));
        }
        let Some(value) = value else { return };
        // A replica behind the others may show an older revision; watching from it would spin.
        self.platform.revision = self.platform.revision.max(value.revision);
        if let Ok(text) = std::str::from_utf8(&value.bytes) {
            let actions = self.spread.on_manifest_offered(text, now);
            self.do_fleet(actions, context);
        }
    }

    fn platform_answered(&mut self) {
        if self.platform.trouble_ms > TROUBLE_MS {
            telemetry::emit(Event::PlatformReachable, format_args!(""));
        }
        self.platform.trouble_ms = TROUBLE_MS;
    }

    fn platform_trouble(&mut self, trouble: &SourceError) {
        if self.platform.trouble_ms == TROUBLE_MS {
            telemetry::emit(Event::PlatformUnreachable, format_args!("why=\"{trouble}\""));
        }
        self.platform.not_before = self.now().after(jitter(self.platform.trouble_ms));
        self.platform.trouble_ms = (self.platform.trouble_ms * 2).min(TROUBLE_MOST_MS);
        // What was watched may be gone; read it anew.
        self.platform.revision = 0;
    }

    fn read_listing(&mut self, context: &mut Context<Self>) {
        let now = self.now();
        if !self.allowance.try_acquire(now) {
            return;
        }
        self.platform.listing = true;
        self.platform.list_at = now.after(LISTING_MS);
        let source = Rc::clone(&self.source);
        let ask = async move { source.member_list().await };
        context.spawn(ask.into_actor(self).map(|answer, this, context| this.take_listing(answer, context)));
    }

    fn take_listing(&mut self, answer: Result<MemberList, SourceError>, context: &mut Context<Self>) {
        self.platform.listing = false;
        match answer {
            Ok(list) => {
                let now = self.now();
                let actions = self.probe.on_member_list(&list.boxes, &list.upstreams, list.revision, now);
                self.do_fleet(actions, context);
            }
            Err(trouble) => self.platform_trouble(&trouble),
        }
    }

    pub(super) fn fetch(&mut self, digests: Vec<Digest>, context: &mut Context<Self>) {
        if self.platform.fetching {
            return;
        }
        let now = self.now();
        let affordable: Vec<Digest> = digests.into_iter().take_while(|_| self.allowance.try_acquire(now)).collect();
        self.platform.fetching = true;
        let source = Rc::clone(&self.source);
        let ask = async move {
            let mut parts = Vec::new();
            for digest in affordable {
                if let Ok(Some(value)) = source.get(&format!("part/{digest}")).await {
                    parts.push(value.bytes);
                }
            }
            parts
        };
        context.spawn(ask.into_actor(self).map(|parts, this, context| {
            this.platform.fetching = false;
            let some = !parts.is_empty();
            let actions = this.spread.on_parts_fetched(&parts, this.now());
            this.do_fleet(actions, context);
            if !some {
                // Parts aren't there (yet): read the manifest again in a while.
                this.platform.revision = 0;
                this.platform.not_before = this.now().after(jitter(TROUBLE_MS * 2));
            }
        }));
    }
}

fn jitter(ms: u64) -> u64 {
    rand::rng().random_range(ms / 2..=ms + ms / 2)
}
