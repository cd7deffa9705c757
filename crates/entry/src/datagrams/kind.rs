//! Kinds of datagrams.

/// Defines the kinds with their first byte and their name in metrics and logs.
macro_rules! kinds {
    ($($(#[doc = $doc:literal])* $kind:ident = $byte:literal, $name:literal;)*) => {
        /// What a datagram holds. Bytes are never given out again, as older builds take them for what they were.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub(crate) enum Kind {
            $($(#[doc = $doc])* $kind,)*
        }

        impl Kind {
            /// All kinds.
            #[cfg(test)]
            pub(crate) const ALL: &[Self] = &[$(Self::$kind),*];

            /// The kind with a first byte; `None` for one that this build doesn't know.
            pub(crate) fn of_byte(byte: u8) -> Option<Self> {
                match byte {
                    $($byte => Some(Self::$kind),)*
                    _ => None,
                }
            }

            /// First byte of the datagram.
            pub(crate) fn byte(self) -> u8 {
                match self {
                    $(Self::$kind => $byte,)*
                }
            }

            /// Name in metrics and logs.
            pub(crate) fn name(self) -> &'static str {
                match self {
                    $(Self::$kind => $name,)*
                }
            }
        }
    };
}

kinds! {
    /// Members, as `wire::peer::Datagram`; this kind and [`Self::Loads`] are Protobuf, all others JSON.
    Membership = b'm', "membership";
    /// News about releases.
    Notice = b'n', "notice";
    /// A query about a topic of the store.
    Query = b'q', "query";
    /// The reply to [`Self::Query`].
    Reply = b'a', "reply";
    /// What engines have stated.
    Statements = b'l', "statements";
    /// A query for a permit.
    PermitQuery = b'p', "permit_query";
    /// The reply to [`Self::PermitQuery`].
    PermitReply = b'g', "permit_reply";
    /// Evidence about requests that end engines, and holds.
    Quarantine = b'h', "quarantine";
    /// A query about the path to a service.
    PathQuery = b'w', "path_query";
    /// The reply to [`Self::PathQuery`].
    PathReply = b'r', "path_reply";
    /// Queries, grants and returns of places at brittle engines.
    Place = b'o', "place";
    /// A query for a retry.
    RetryQuery = b'b', "retry_query";
    /// The reply to [`Self::RetryQuery`].
    RetryReply = b'c', "retry_reply";
    /// Load reports of engines, as `wire::peer::LoadReports`.
    Loads = b'd', "loads";
}
