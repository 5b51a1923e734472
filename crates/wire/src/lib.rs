//! Messages between entry VMs and their transport.
//!
//! Small messages are sent in signed UDP datagrams ([`datagram`]). Messages that
//! wait for the same peer at the same time share a datagram ([`outbox`]). Parts of
//! the configuration are fetched over TCP ([`stream`]). See `docs/design/wire.md`.

pub mod datagram;
pub mod key;
pub mod msg;
pub mod outbox;
pub mod stream;
pub mod transport;

pub use key::Keyring;
pub use msg::CrashMsg;
pub use msg::KeyMsg;
pub use msg::Msg;
pub use msg::RelayMsg;
pub use outbox::Outbox;
pub use transport::Transport;
