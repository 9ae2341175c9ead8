//! Certificates of the listeners: read, checked, made into what serves them.

use super::Identity;
use rustls::ServerConfig;
use rustls::crypto::aws_lc_rs;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use std::path::Path;
use std::sync::Arc;

/// The one protocol that is agreed on.
const HTTP_1_1: &[u8] = b"http/1.1";

/// Which of the two files cannot serve, and why.
#[derive(Debug)]
pub(super) enum Fault {
    /// The certificate chain.
    Certificate(String),
    /// The private key.
    Key(String),
}

/// What a listener with `identity` serves with.
pub(super) fn load(identity: &Identity) -> Result<Arc<ServerConfig>, Fault> {
    let chain = chain(&identity.certificate).map_err(Fault::Certificate)?;
    let key = PrivateKeyDer::from_pem_file(&identity.key)
        .map_err(|error| Fault::Key(unreadable(&identity.key, &error)))?;
    let provider = Arc::new(aws_lc_rs::default_provider());
    let versions =
        ServerConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
    let builder = versions.map_err(|error| Fault::Certificate(error.to_string()))?;
    // What fails here is the match of the two, or a key of a kind that is not known.
    let config = builder.with_no_client_auth().with_single_cert(chain, key);
    let mut config = config.map_err(|error| Fault::Key(format!("does not fit: {error}")))?;
    config.alpn_protocols = vec![HTTP_1_1.to_vec()];
    Ok(Arc::new(config))
}

fn chain(path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let certificates = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
    let chain: Vec<_> = certificates.map_err(|error| unreadable(path, &error))?;
    match chain.is_empty() {
        true => Err(format!("{} holds no certificate", path.display())),
        false => Ok(chain),
    }
}

fn unreadable(path: &Path, error: &rustls::pki_types::pem::Error) -> String {
    format!("{} cannot be read: {error}", path.display())
}
