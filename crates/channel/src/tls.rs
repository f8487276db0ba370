//! Both sides prove themselves by certificates of one authority, which belongs to the installation alone.

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_rustls::{client, server, TlsAcceptor, TlsConnector};

/// Why the files cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file cannot be read, or holds nothing of the kind.
    #[error("{file}: {error}")]
    #[allow(missing_docs)]
    File { file: PathBuf, error: rustls::pki_types::pem::Error },
    /// A file holds no certificate.
    #[error("{0}: no certificate in it")]
    Empty(PathBuf),
    /// Certificate and key do not fit, or are of a kind that is not supported.
    #[error("{file}: {error}")]
    #[allow(missing_docs)]
    Unfit { file: PathBuf, error: rustls::Error },
    /// The authority cannot be used.
    #[error("{file}: {error}")]
    #[allow(missing_docs)]
    Authority { file: PathBuf, error: String },
    /// No name that a certificate can have.
    #[error("`{0}` is no name that a certificate can have")]
    Name(String),
}

/// Both sides of a peer.
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
    let fault = |error| TlsError::File { file: file.to_owned(), error };
    let found: Result<Vec<_>, _> = CertificateDer::pem_file_iter(file).map_err(fault)?.collect();
    let found = found.map_err(fault)?;
    if found.is_empty() {
        return Err(TlsError::Empty(file.to_owned()));
    }
    Ok(found)
}

impl Tls {
    /// Reads the authority's certificate, the own certificate and its key, all PEM. Planners are met only under the
    /// name that their certificates hold.
    pub fn load(authority: &Path, certificate: &Path, key: &Path, planner: &str) -> Result<Tls, TlsError> {
        let mut roots = RootCertStore::empty();
        for root in certificates(authority)? {
            roots.add(root).map_err(|error| TlsError::Unfit { file: authority.to_owned(), error })?;
        }
        let roots = Arc::new(roots);
        let chain = certificates(certificate)?;
        let secret = PrivateKeyDer::from_pem_file(key)
            .map_err(|error| TlsError::File { file: key.to_owned(), error })?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let unfit = |error| TlsError::Unfit { file: certificate.to_owned(), error };
        let verifier =
            WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build().map_err(
                |error| TlsError::Authority { file: authority.to_owned(), error: error.to_string() },
            )?;
        let server = ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(unfit)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), secret.clone_key())
            .map_err(unfit)?;
        let client = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(unfit)?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, secret)
            .map_err(unfit)?;
        let planner =
            ServerName::try_from(planner.to_owned()).map_err(|_| TlsError::Name(planner.to_owned()))?;
        Ok(Tls { connector: Arc::new(client).into(), acceptor: Arc::new(server).into(), planner })
    }

    /// Proves both sides as the one that connected.
    pub async fn connect<S>(&self, stream: S) -> std::io::Result<client::TlsStream<S>>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        self.connector.connect(self.planner.clone(), stream).await
    }

    /// Proves both sides as the one that was connected to.
    pub async fn accept<S>(&self, stream: S) -> std::io::Result<server::TlsStream<S>>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        self.acceptor.accept(stream).await
    }
}
