//! Outgoing connections of a node.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use tokio::net::TcpStream;

/// Result of [`Network::connect`].
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send>>;

/// The way to engines, the store and other nodes.
pub trait Network: Debug + Send + Sync {
    /// Connects to an address; has no time limit of its own.
    fn connect(&self, address: SocketAddr) -> Connecting;
}

/// The network of the host.
#[derive(Debug)]
pub struct Tcp;

impl Network for Tcp {
    fn connect(&self, address: SocketAddr) -> Connecting {
        Box::pin(TcpStream::connect(address))
    }
}
