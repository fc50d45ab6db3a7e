//! `h2` connections between nodes and `bincode` frames on their streams.

mod client;
mod error;
mod frame;
mod handshakes;
mod links;
mod server;

pub(crate) use self::{
    client::{Connection, connect, connect_with_window},
    error::TransportError,
    frame::{FrameReader, FrameWriter, NoMemory},
    links::Links,
    server::{StreamHandler, Transport},
};
