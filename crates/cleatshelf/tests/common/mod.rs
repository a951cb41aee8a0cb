//! Boxes as processes before stand-ins of servers and the store.

use platform_lab::{config, start_boxes, Call, Process, Reply, Servers, Store};
use std::path::Path;

/// Some boxes that know each other, and four servers of one service.
pub struct World {
    pub store: Store,
    pub servers: Servers,
    pub boxes: Vec<Process>,
}

impl World {
    pub fn start(boxes: usize) -> Self {
        let store = Store::start();
        store.put("op/config", &config(3, "/x/"));
        let servers = Servers::start(&store, &["hall"], 4);
        let boxes = start_boxes(Path::new(env!("CARGO_BIN_EXE_cleatshelf")), &["route"], &store, &vec!["hall"; boxes]);
        Self { store, servers, boxes }
    }

    pub fn ask(&self, which: usize, id: &str) -> Reply {
        let call = Call { id: id.to_owned(), method: "GET", path: "/x/good".to_owned(), ..Call::default() };
        call.send(self.boxes[which].callers)
    }

    /// The server that a box sends to first while nothing runs anywhere.
    pub fn first(&self, which: usize) -> String {
        let id = format!("first-{which}");
        assert!(matches!(self.ask(which, &id), Reply::Whole { status: 200, .. }));
        self.servers.ledger.runs(&id)[0].server.clone()
    }
}
