//! HTTP server of a stand-in on a loopback port, which can be stopped abruptly and started again.

use actix_web::dev::ServerHandle;
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};
use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;

const MAX_CONNECTIONS: usize = 20_000;

/// A server that can be stopped and restarted under the same address.
pub struct StandInServer {
    /// The listening address.
    pub address: SocketAddr,
    handle: Mutex<Option<ServerHandle>>,
}

impl StandInServer {
    /// Binds a free loopback port and serves `routes` on it.
    ///
    /// # Panics
    /// If no loopback port is free, since no test can continue without one.
    #[must_use]
    pub fn start<F>(routes: F) -> Self
    where
        F: Fn(&mut ServiceConfig) + Send + Clone + 'static,
    {
        let listener = crate::ports::bind_listener();
        let address = listener.local_addr().expect("the listener is bound");
        let server = Self { address, handle: Mutex::new(None) };
        server.serve(listener, routes);
        server
    }

    /// Serves again after [`StandInServer::stop`].
    ///
    /// # Panics
    /// If the address can't be bound again.
    pub fn restart<F>(&self, routes: F)
    where
        F: Fn(&mut ServiceConfig) + Send + Clone + 'static,
    {
        self.serve(TcpListener::bind(self.address).expect("the address is free again"), routes);
    }

    fn serve<F>(&self, listener: TcpListener, routes: F)
    where
        F: Fn(&mut ServiceConfig) + Send + Clone + 'static,
    {
        let app = move || App::new().configure(routes.clone());
        let http_server = HttpServer::new(app)
            .workers(1)
            .max_connections(MAX_CONNECTIONS)
            .shutdown_timeout(0)
            .disable_signals()
            .listen(listener)
            .expect("the listener is bound")
            .run();
        *self.handle.lock().expect("the lock is not poisoned") = Some(http_server.handle());
        // Each server has its own thread, so that the stand-ins of one test don't delay each other.
        std::thread::spawn(move || actix_web::rt::System::new().block_on(http_server));
    }

    /// Stops immediately and closes every connection.
    pub fn stop(&self) {
        let handle = self.handle.lock().expect("the lock is not poisoned").take();
        if let Some(handle) = handle {
            // The stop command is sent by this call; the returned future only waits for completion.
            drop(handle.stop(false));
        }
    }
}

impl Drop for StandInServer {
    fn drop(&mut self) {
        self.stop();
    }
}
