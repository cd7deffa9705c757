//! The server of the caller API.

pub(crate) mod body;
pub(crate) mod dispatch;
pub(crate) mod events;
pub(crate) mod exchange;
pub(crate) mod gate;
pub(crate) mod listener;
pub(crate) mod reply;
