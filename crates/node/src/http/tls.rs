//! TLS towards callers, with a certificate that can be renewed while the node runs.

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

/// Interval at which the files are read again; they are a few kilobytes.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Failure to use a certificate and its key.
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
    /// A file does not hold what it should in PEM.
    #[error("{file}: {cause}")]
    Pem {
        /// The file.
        file: PathBuf,
        /// The fault.
        cause: pem::Error,
    },
    /// The key does not fit the certificate, or is of an unknown kind.
    #[error("{0}")]
    Key(#[from] rustls::Error),
}

/// Contents of both files.
struct Files {
    certificate: Vec<u8>,
    private_key: Vec<u8>,
}

impl Files {
    fn read(names: &settings::Tls) -> Result<Self, Error> {
        let read = |file: &PathBuf| {
            std::fs::read(file).map_err(|cause| Error::Read {
                file: file.clone(),
                cause,
            })
        };
        Ok(Self {
            certificate: read(&names.certificate)?,
            private_key: read(&names.private_key)?,
        })
    }

    /// Tells contents apart, so that the private key need not be kept for that.
    fn digest(&self) -> [u8; 32] {
        let certificate = Sha256::digest(&self.certificate);
        let mut hash = Sha256::new();
        hash.update(certificate);
        hash.update(&self.private_key);
        hash.finalize().into()
    }

    fn key(&self, names: &settings::Tls, provider: &CryptoProvider) -> Result<CertifiedKey, Error> {
        let in_certificate = |cause| Error::Pem {
            file: names.certificate.clone(),
            cause,
        };
        let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&self.certificate).collect();
        let chain = chain.map_err(in_certificate)?;
        if chain.is_empty() {
            return Err(in_certificate(pem::Error::NoItemsFound));
        }
        let key = PrivateKeyDer::from_pem_slice(&self.private_key).map_err(|cause| Error::Pem {
            file: names.private_key.clone(),
            cause,
        })?;
        Ok(CertifiedKey::from_der(chain, key, provider)?)
    }
}

/// Certificate and key of new connections.
#[derive(Debug)]
struct Resolver(RwLock<Arc<CertifiedKey>>);

impl ResolvesServerCert for Resolver {
    fn resolve(&self, _hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner)))
    }
}

/// TLS with the files that it comes from.
#[derive(Debug)]
pub(super) struct Tls {
    names: settings::Tls,
    provider: Arc<CryptoProvider>,
    resolver: Arc<Resolver>,
    config: Arc<ServerConfig>,
    /// Digest of the files as last seen, faulty or not; `None` while they cannot be read.
    seen: Option<[u8; 32]>,
}

impl Tls {
    /// Reads the files.
    ///
    /// # Errors
    /// Any [`Error`].
    pub(super) fn open(names: &settings::Tls) -> Result<Self, Error> {
        let provider = Arc::new(ring::default_provider());
        let files = Files::read(names)?;
        let key = files.key(names, &provider)?;
        let resolver = Arc::new(Resolver(RwLock::new(Arc::new(key))));
        let mut config = ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_cert_resolver(Arc::<Resolver>::clone(&resolver));
        config.alpn_protocols = vec![b"http/1.1".to_vec()];
        Ok(Self {
            names: names.clone(),
            provider,
            resolver,
            config: Arc::new(config),
            seen: Some(files.digest()),
        })
    }

    /// Takes connections with the newest key.
    pub(super) fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(Arc::clone(&self.config))
    }

    /// Follows the files for as long as the runtime lasts.
    pub(super) async fn renew(mut self, shared: Arc<Shared>) {
        loop {
            sleep(RENEW_INTERVAL).await;
            let step_shared = Arc::clone(&shared);
            let step = tokio::task::spawn_blocking(move || {
                self.step(&step_shared);
                self
            });
            match step.await {
                Ok(tls) => self = tls,
                Err(err) => {
                    log::error!("the certificate is not renewed any more: {err}");
                    return;
                }
            }
        }
    }

    /// Uses new contents of the files; faulty ones are counted and logged once and leave the key as it is.
    fn step(&mut self, shared: &Shared) {
        let files = Files::read(&self.names);
        let digest = files.as_ref().ok().map(Files::digest);
        if digest == self.seen {
            return;
        }
        self.seen = digest;
        match files.and_then(|it| it.key(&self.names, &self.provider)) {
            Ok(key) => {
                let mut current = self.resolver.0.write().unwrap_or_else(PoisonError::into_inner);
                *current = Arc::new(key);
                shared.metrics.tls_renewals.inc();
                log::info!("the certificate of {} was renewed", shared.settings.node.host);
            }
            Err(err) => {
                shared.metrics.tls_renewal_failures.inc();
                log::warn!("the certificate is not renewed, the old one stays: {err}");
            }
        }
    }
}
