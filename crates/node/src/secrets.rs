//! Keys of a node.

use std::path::{Path, PathBuf};

use config::settings::Keys;

/// Minimum length of a key.
const MIN_KEY_BYTES: usize = 16;

/// Failure to read a key file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{}: {cause}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The underlying error.
        cause: std::io::Error,
    },
    /// The key is too short.
    #[error("{}: the key is shorter than {MIN_KEY_BYTES} bytes", path.display())]
    TooShort {
        /// The file.
        path: PathBuf,
    },
}

/// Keys of a node. The `Debug` output does not contain them.
#[derive(Clone, PartialEq, Eq)]
pub struct Secrets {
    /// Key that signs session tokens; the same on all nodes.
    pub session: Vec<u8>,
    /// Previous key, still accepted in session tokens.
    pub previous_session: Option<Vec<u8>>,
    /// Key that authenticates messages between nodes.
    pub cluster: Vec<u8>,
    /// Bearer key for `/admin`; without it only callers on a loopback address are admitted.
    pub admin: Option<String>,
}

impl Secrets {
    /// Reads the key files. White space around a key is removed.
    ///
    /// # Errors
    /// The first file that cannot be read or contains too short a key.
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

    /// Keys for session tokens; the first one is used for signing.
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
        return Err(Error::TooShort {
            path: path.to_owned(),
        });
    }
    Ok(key)
}
