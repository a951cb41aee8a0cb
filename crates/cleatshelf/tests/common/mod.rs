//! A test deployment: boxes as processes, with simulated servers and a simulated store.

use platform_lab::{config_json, start_boxes, Call, Process, Reply, Servers, Store};
use std::path::Path;

/// Boxes that know each other, and four servers of one service.
pub struct World {
    pub store: Store,
    pub servers: Servers,
    pub boxes: Vec<Process>,
}

impl World {
    pub fn start(boxes: usize) -> Self {
        let store = Store::start();
        store.put("op/config", &config_json(3, "/x/"));
        let servers = Servers::start(&store, &["hall"], 4);
        let boxes = start_boxes(Path::new(env!("CARGO_BIN_EXE_cleatshelf")), &["route"], &store, &vec!["hall"; boxes]);
        Self { store, servers, boxes }
    }

    /// Sends a request with this id to the box with this index.
    pub fn send(&self, index: usize, id: &str) -> Reply {
        let call = Call { id: id.to_owned(), method: "GET", path: "/x/good".to_owned(), ..Call::default() };
        call.send(self.boxes[index].callers)
    }

    /// Returns the server that a box chooses first while no requests are running.
    pub fn first_choice(&self, index: usize) -> String {
        let id = format!("first-{index}");
        assert!(matches!(self.send(index, &id), Reply::Complete { status: 200, .. }));
        self.servers.ledger.runs(&id)[0].server.clone()
    }
}
