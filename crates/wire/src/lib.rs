//! What entry VMs say to each other, and how it travels.
//!
//! Small messages go in signed UDP datagrams ([`datagram`]), many for one peer
//! in one datagram when they happen to wait together ([`outbox`]). Parts of
//! the configuration go over TCP ([`stream`]). See `docs/design/wire.md`.

pub mod datagram;
pub mod key;
pub mod msg;
pub mod outbox;
pub mod stream;
pub mod transport;

pub use key::Keyring;
pub use msg::KeyMsg;
pub use msg::Msg;
pub use outbox::Outbox;
pub use transport::Transport;
