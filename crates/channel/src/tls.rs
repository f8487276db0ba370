//! Mutual TLS: both sides authenticate by certificates of an authority that belongs to the installation alone.

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_rustls::{client, server, TlsAcceptor, TlsConnector};

/// Why the TLS files cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file cannot be read, or lacks the expected PEM item.
    #[error("{file}: {error}")]
    #[allow(missing_docs)]
    File { file: PathBuf, error: rustls::pki_types::pem::Error },
    /// A file contains no certificate.
    #[error("{0}: no certificate in it")]
    Empty(PathBuf),
    /// Certificate and key do not match or are not supported.
    #[error("{file}: {error}")]
    #[allow(missing_docs)]
    Unfit { file: PathBuf, error: rustls::Error },
    /// The authority's certificate cannot be used.
    #[error("{file}: {error}")]
    #[allow(missing_docs)]
    Authority { file: PathBuf, error: String },
    /// Not a valid server name.
    #[error("`{0}` is no name that a certificate can have")]
    Name(String),
}

/// Connector and acceptor of a peer.
#[derive(Clone)]
pub struct Tls {
    connector: TlsConnector,
    acceptor: TlsAcceptor,
    planner: ServerName<'static>,
}

impl std::fmt::Debug for Tls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Tls({:?})", self.planner)
    }
}

fn certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let file_error = |error| TlsError::File { file: file.to_owned(), error };
    let certificates: Result<Vec<_>, _> = CertificateDer::pem_file_iter(file).map_err(file_error)?.collect();
    let certificates = certificates.map_err(file_error)?;
    if certificates.is_empty() {
        return Err(TlsError::Empty(file.to_owned()));
    }
    Ok(certificates)
}

impl Tls {
    /// Loads the authority's certificate, the own certificate and its key, all in PEM format. Planners are verified
    /// against the name `planner` in their certificates.
    pub fn load(authority: &Path, certificate: &Path, key: &Path, planner: &str) -> Result<Tls, TlsError> {
        let mut roots = RootCertStore::empty();
        for root in certificates(authority)? {
            roots.add(root).map_err(|error| TlsError::Unfit { file: authority.to_owned(), error })?;
        }
        let roots = Arc::new(roots);
        let chain = certificates(certificate)?;
        let private_key = PrivateKeyDer::from_pem_file(key)
            .map_err(|error| TlsError::File { file: key.to_owned(), error })?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config_error = |error| TlsError::Unfit { file: certificate.to_owned(), error };
        let verifier =
            WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build().map_err(
                |error| TlsError::Authority { file: authority.to_owned(), error: error.to_string() },
            )?;
        let server = ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(config_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), private_key.clone_key())
            .map_err(config_error)?;
        let client = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(config_error)?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, private_key)
            .map_err(config_error)?;
        let planner =
            ServerName::try_from(planner.to_owned()).map_err(|_| TlsError::Name(planner.to_owned()))?;
        Ok(Tls { connector: Arc::new(client).into(), acceptor: Arc::new(server).into(), planner })
    }

    /// Performs the TLS handshake as the side that connected.
    pub async fn connect<S>(&self, stream: S) -> std::io::Result<client::TlsStream<S>>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        self.connector.connect(self.planner.clone(), stream).await
    }

    /// Performs the TLS handshake as the side that accepted the connection.
    pub async fn accept<S>(&self, stream: S) -> std::io::Result<server::TlsStream<S>>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        self.acceptor.accept(stream).await
    }
}
