//! A stand-in's HTTP server on a loopback port, which can be stopped hard and started again.

use actix_web::dev::ServerHandle;
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};
use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;

/// A server that can be taken away and brought back under the same address.
pub struct StandInServer {
    /// Where it listens.
    pub address: SocketAddr,
    handle: Mutex<Option<ServerHandle>>,
}

impl StandInServer {
    /// Binds a free loopback port and serves `routes` on it.
    ///
    /// # Panics
    /// When no loopback port can be had: no test can go on without.
    #[must_use]
    pub fn start<F>(routes: F) -> Self
    where
        F: Fn(&mut ServiceConfig) + Send + Clone + 'static,
    {
        let listener = crate::ports::bind_listener();
        let address = listener.local_addr().expect("a bound address");
        let serving = Self { address, handle: Mutex::new(None) };
        serving.serve(listener, routes);
        serving
    }

    /// Serves again after [`StandInServer::stop`].
    ///
    /// # Panics
    /// When the address can't be bound again.
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
        let make = move || App::new().configure(routes.clone());
        let server = HttpServer::new(make)
            .workers(1)
            .max_connections(20_000)
            .shutdown_timeout(0)
            .disable_signals()
            .listen(listener)
            .expect("a bound listener")
            .run();
        *self.handle.lock().expect("no thread died") = Some(server.handle());
        // A thread of its own, so that stand-ins of one test don't wait for each other.
        std::thread::spawn(move || actix_web::rt::System::new().block_on(server));
    }

    /// Stops at once and breaks every connection.
    pub fn stop(&self) {
        let handle = self.handle.lock().expect("no thread died").take();
        if let Some(handle) = handle {
            // The returned future only waits for the end; the order to stop is given at once.
            drop(handle.stop(false));
        }
    }
}

impl Drop for StandInServer {
    fn drop(&mut self) {
        self.stop();
    }
}
