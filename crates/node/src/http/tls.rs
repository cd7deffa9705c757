//! TLS for the caller API, with a certificate that is reloaded when its files change.

use std::io;
use std::path::PathBuf;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use config::settings;
use sha2::{Digest, Sha256};
use tokio::time::sleep;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::rustls::crypto::{CryptoProvider, ring};
use tokio_rustls::rustls::pki_types::pem::{self, PemObject};
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::server::{ClientHello, ResolvesServerCert};
use tokio_rustls::rustls::sign::CertifiedKey;

use crate::shared::Shared;

/// Interval between reads of the files, which are a few kilobytes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Failure to load a certificate and its key.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file could not be read.
    #[error("{file}: {cause}")]
    Read {
        /// The file.
        file: PathBuf,
        /// The failure.
        cause: io::Error,
    },
    /// A file does not contain the expected PEM item.
    #[error("{file}: {cause}")]
    Pem {
        /// The file.
        file: PathBuf,
        /// The fault.
        cause: pem::Error,
    },
    /// The key does not match the certificate, or its type is not supported.
    #[error("{0}")]
    Key(#[from] rustls::Error),
}

/// Contents of the certificate file and the key file.
struct Files {
    certificate: Vec<u8>,
    private_key: Vec<u8>,
}

impl Files {
    fn read(paths: &settings::Tls) -> Result<Self, Error> {
        let read = |file: &PathBuf| {
            std::fs::read(file).map_err(|cause| Error::Read {
                file: file.clone(),
                cause,
            })
        };
        Ok(Self {
            certificate: read(&paths.certificate)?,
            private_key: read(&paths.private_key)?,
        })
    }

    /// Digest to detect changes by, so that the private key need not be kept in memory for the comparison.
    fn digest(&self) -> [u8; 32] {
        let certificate = Sha256::digest(&self.certificate);
        let mut hash = Sha256::new();
        hash.update(certificate);
        hash.update(&self.private_key);
        hash.finalize().into()
    }

    fn key(&self, paths: &settings::Tls, provider: &CryptoProvider) -> Result<CertifiedKey, Error> {
        let in_certificate = |cause| Error::Pem {
            file: paths.certificate.clone(),
            cause,
        };
        let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&self.certificate).collect();
        let chain = chain.map_err(in_certificate)?;
        if chain.is_empty() {
            return Err(in_certificate(pem::Error::NoItemsFound));
        }
        let key = PrivateKeyDer::from_pem_slice(&self.private_key).map_err(|cause| Error::Pem {
            file: paths.private_key.clone(),
            cause,
        })?;
        Ok(CertifiedKey::from_der(chain, key, provider)?)
    }
}

/// Supplies the current certificate and key to new connections.
#[derive(Debug)]
struct CertificateResolver(RwLock<Arc<CertifiedKey>>);

impl ResolvesServerCert for CertificateResolver {
    fn resolve(&self, _hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner)))
    }
}

/// TLS configuration and the files that it is loaded from.
#[derive(Debug)]
pub(super) struct Tls {
    paths: settings::Tls,
    provider: Arc<CryptoProvider>,
    resolver: Arc<CertificateResolver>,
    config: Arc<ServerConfig>,
    /// Digest of the files as last read, whether valid or not; `None` if they could not be read.
    last_digest: Option<[u8; 32]>,
}

impl Tls {
    /// Loads the certificate and its key.
    ///
    /// # Errors
    /// Any [`Error`].
    pub(super) fn open(paths: &settings::Tls) -> Result<Self, Error> {
        let provider = Arc::new(ring::default_provider());
        let files = Files::read(paths)?;
        let key = files.key(paths, &provider)?;
        let resolver = Arc::new(CertificateResolver(RwLock::new(Arc::new(key))));
        let mut config = ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_cert_resolver(Arc::<CertificateResolver>::clone(&resolver));
        config.alpn_protocols = vec![b"http/1.1".to_vec()];
        Ok(Self {
            paths: paths.clone(),
            provider,
            resolver,
            config: Arc::new(config),
            last_digest: Some(files.digest()),
        })
    }

    /// Acceptor that always uses the latest certificate.
    pub(super) fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(Arc::clone(&self.config))
    }

    /// Reloads the files when they change, for as long as the runtime exists.
    pub(super) async fn watch_files(mut self, shared: Arc<Shared>) {
        loop {
            sleep(RELOAD_INTERVAL).await;
            let task_shared = Arc::clone(&shared);
            let task = tokio::task::spawn_blocking(move || {
                self.reload_if_changed(&task_shared);
                self
            });
            match task.await {
                Ok(tls) => self = tls,
                Err(err) => {
                    log::error!("the TLS certificate is no longer reloaded: {err}");
                    return;
                }
            }
        }
    }

    /// Switches to new contents of the files. Invalid contents are counted and logged once, and the current
    /// certificate stays in use.
    fn reload_if_changed(&mut self, shared: &Shared) {
        let files = Files::read(&self.paths);
        let digest = files.as_ref().ok().map(Files::digest);
        if digest == self.last_digest {
            return;
        }
        self.last_digest = digest;
        match files.and_then(|it| it.key(&self.paths, &self.provider)) {
            Ok(key) => {
                let mut current = self.resolver.0.write().unwrap_or_else(PoisonError::into_inner);
                *current = Arc::new(key);
                shared.metrics.tls_renewals.inc();
                log::info!(
                    "reloaded the TLS certificate of host {}",
                    shared.settings.node.host
                );
            }
            Err(err) => {
                shared.metrics.tls_renewal_failures.inc();
                log::warn!("cannot reload the TLS certificate; the previous one stays in use: {err}");
            }
        }
    }
}
