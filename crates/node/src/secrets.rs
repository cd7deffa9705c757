//! Keys of a node.

use std::path::{Path, PathBuf};

use config::settings::Keys;

/// Least length of a key in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Failure to read a key file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file is not readable.
    #[error("{}: {cause}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The failure.
        cause: std::io::Error,
    },
    /// The key is too short.
    #[error("{}: a key has at least {MIN_KEY_BYTES} bytes", path.display())]
    Short {
        /// The file.
        path: PathBuf,
    },
}

/// Keys of a node; their debug form reveals nothing.
#[derive(Clone, PartialEq, Eq)]
pub struct Secrets {
    /// Signs session tokens, the same on all nodes.
    pub session: Vec<u8>,
    /// Is still accepted for session tokens.
    pub previous_session: Option<Vec<u8>>,
    /// Authenticates messages between nodes.
    pub cluster: Vec<u8>,
    /// Bearer key for `/admin`; without it only callers on a loopback address are admitted.
    pub admin: Option<String>,
}

impl Secrets {
    /// Reads the key files; white space around a key is not part of it.
    ///
    /// # Errors
    /// The first file that is unreadable or holds too short a key.
    pub fn load(keys: &Keys) -> Result<Self, Error> {
        let previous_session = keys.previous_session.as_deref().map(read).transpose()?;
        let admin = keys.admin.as_deref().map(read).transpose()?;
        Ok(Self {
            session: read(&keys.session)?,
            previous_session,
            cluster: read(&keys.cluster)?,
            admin: admin.map(|it| String::from_utf8_lossy(&it).into_owned()),
        })
    }

    /// Keys for session tokens, the one that signs first.
    pub(crate) fn session_keys(&self) -> Vec<Vec<u8>> {
        let keys = [Some(&self.session), self.previous_session.as_ref()];
        keys.into_iter().flatten().cloned().collect()
    }
}

impl std::fmt::Debug for Secrets {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Secrets").finish_non_exhaustive()
    }
}

fn read(path: &Path) -> Result<Vec<u8>, Error> {
    let bytes = std::fs::read(path).map_err(|cause| Error::Read {
        path: path.to_owned(),
        cause,
    })?;
    let key = bytes.trim_ascii().to_vec();
    if key.len() < MIN_KEY_BYTES {
        return Err(Error::Short {
            path: path.to_owned(),
        });
    }
    Ok(key)
}
