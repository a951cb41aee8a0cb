//! Reads the manifest, the parts and the membership list from the platform.

use super::*;

impl Control {
    pub(super) fn is_watcher(&self) -> bool {
        let boxes = self.detector.eligible_boxes();
        let alive = boxes.get(&self.settings.me.hall).map_or(&[][..], Vec::as_slice);
        watchers(alive).contains(&self.settings.me.id())
    }

    pub(super) fn poll_platform(&mut self, context: &mut Context<Self>) {
        let now = self.now();
        let just_started = now.since(self.resumed_at) < PEER_RELEASE_WAIT_MS / 2 && !self.settings.peers.is_empty();
        if just_started && self.releases.release_id().is_none() {
            // Peers may send the whole release at once, whereas the platform needs a call for each part.
            return;
        }
        if now < self.platform.not_before {
            return;
        }
        let watcher = self.platform.watcher;
        if !self.platform.reading_manifest {
            self.read_manifest(watcher && self.platform.revision > 0, context);
        }
        let never_read = self.platform.next_member_read == Time(0);
        if !self.platform.reading_members && now >= self.platform.next_member_read && (watcher || never_read) {
            self.read_member_list(context);
        }
    }

    /// Updates the watch role after a change of the known boxes.
    pub(super) fn update_watch_role(&mut self) {
        let watcher = self.is_watcher();
        if watcher == self.platform.watcher {
            return;
        }
        self.platform.watcher = watcher;
        telemetry::emit(Event::WatchRole, format_args!("watcher={watcher}"));
        if watcher {
            // A box that doesn't watch reads rarely; a new watcher reads immediately.
            self.platform.not_before = Time(0);
        }
    }

    fn read_manifest(&mut self, watch: bool, context: &mut Context<Self>) {
        let now = self.now();
        if !self.call_budget.try_acquire(now) {
            return;
        }
        self.platform.reading_manifest = true;
        let source = Rc::clone(&self.source);
        let since = self.platform.revision;
        let call = async move {
            if watch {
                source.watch(MANIFEST_KEY, since).await
            } else {
                source.get(MANIFEST_KEY).await
            }
        };
        context.spawn(call.into_actor(self).map(move |result, this, context| this.on_manifest(result, context)));
    }

    fn on_manifest(&mut self, result: Result<Option<Value>, SourceError>, context: &mut Context<Self>) {
        let now = self.now();
        self.platform.reading_manifest = false;
        let value = match result {
            Ok(value) => {
                self.on_platform_success();
                value
            }
            Err(error) => {
                self.on_platform_error(&error);
                return;
            }
        };
        if !self.is_watcher() {
            self.platform.not_before = now.after(jitter(UNWATCHED_READ_INTERVAL_MS));
        } else if self.platform.revision == 0 && value.is_none() {
            self.platform.not_before = now.after(jitter(MAX_BACKOFF_MS / 8));
        }
        let Some(value) = value else { return };
        // A lagging replica may return an older revision; watching from that one would return at once, in a loop.
        self.platform.revision = self.platform.revision.max(value.revision);
        if let Ok(text) = std::str::from_utf8(&value.bytes) {
            let actions = self.releases.on_manifest_offered(text, now);
            self.run_fleet_actions(actions, context);
        }
    }

    fn on_platform_success(&mut self) {
        if self.platform.backoff_ms > MIN_BACKOFF_MS {
            telemetry::emit(Event::PlatformReachable, format_args!(""));
        }
        self.platform.backoff_ms = MIN_BACKOFF_MS;
    }

    fn on_platform_error(&mut self, error: &SourceError) {
        if self.platform.backoff_ms == MIN_BACKOFF_MS {
            telemetry::emit(Event::PlatformUnreachable, format_args!("why=\"{error}\""));
        }
        self.platform.not_before = self.now().after(jitter(self.platform.backoff_ms));
        self.platform.backoff_ms = (self.platform.backoff_ms * 2).min(MAX_BACKOFF_MS);
        // The watched revision may no longer exist, so the manifest is read again.
        self.platform.revision = 0;
    }

    fn read_member_list(&mut self, context: &mut Context<Self>) {
        let now = self.now();
        if !self.call_budget.try_acquire(now) {
            return;
        }
        self.platform.reading_members = true;
        self.platform.next_member_read = now.after(MEMBER_READ_INTERVAL_MS);
        let source = Rc::clone(&self.source);
        let call = async move { source.member_list().await };
        context.spawn(call.into_actor(self).map(|result, this, context| this.on_member_list_read(result, context)));
    }

    fn on_member_list_read(&mut self, result: Result<MemberList, SourceError>, context: &mut Context<Self>) {
        self.platform.reading_members = false;
        match result {
            Ok(list) => {
                let now = self.now();
                let actions = self.detector.on_member_list(&list.boxes, &list.upstreams, list.revision, now);
                self.run_fleet_actions(actions, context);
            }
            Err(error) => self.on_platform_error(&error),
        }
    }

    pub(super) fn fetch_parts(&mut self, digests: Vec<Digest>, context: &mut Context<Self>) {
        if self.platform.fetching_parts {
            return;
        }
        let now = self.now();
        let digests: Vec<Digest> = digests.into_iter().take_while(|_| self.call_budget.try_acquire(now)).collect();
        self.platform.fetching_parts = true;
        let source = Rc::clone(&self.source);
        let call = async move {
            let mut parts = Vec::new();
            for digest in digests {
                if let Ok(Some(value)) = source.get(&format!("part/{digest}")).await {
                    parts.push(value.bytes);
                }
            }
            parts
        };
        context.spawn(call.into_actor(self).map(|parts, this, context| {
            this.platform.fetching_parts = false;
            let found_any = !parts.is_empty();
            let actions = this.releases.on_parts_fetched(&parts, this.now());
            this.run_fleet_actions(actions, context);
            if !found_any {
                // The parts aren't available (yet): read the manifest again later.
                this.platform.revision = 0;
                this.platform.not_before = this.now().after(jitter(MIN_BACKOFF_MS * 2));
            }
        }));
    }
}

fn jitter(ms: u64) -> u64 {
    rand::rng().random_range(ms / 2..=ms + ms / 2)
}
