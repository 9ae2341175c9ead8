//! The operators' command against a listener that requires TLS: only the given certificate
//! authority is trusted, and the exit status tells an unreachable host from an unreadable file.

use bergamotvale_cli::{args, run};
use bergamotvale_core::id::HostId;
use bergamotvale_host::auth;
use bergamotvale_host::daemon::Daemon;
use bergamotvale_host::settings::{Identity, Listen, Operator, Settings};
use bergamotvale_standin::platform::Server;
use rcgen::{CertifiedKey, generate_simple_self_signed};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const HOST: HostId = 1;
const SALT: &str = "00";

fn file(name: &str, content: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).expect("write the file");
    path
}

fn identity(name: &str) -> Identity {
    let names = vec!["127.0.0.1".to_owned()];
    let CertifiedKey { cert, signing_key } =
        generate_simple_self_signed(names).expect("generate a certificate");
    let certificate = file(&format!("{name}.crt"), &cert.pem());
    let key = file(&format!("{name}.key"), &signing_key.serialize_pem());
    Identity { certificate, key }
}

fn settings(platform: SocketAddr, identity: &Identity) -> Settings {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = Listen { callers: free, operators: free, peers: free };
    let mut settings = Settings::new(HOST, 0, listen, platform);
    let digest = auth::digest(SALT, "secret");
    settings.operators.push(Operator { name: "alice".into(), salt: SALT.into(), digest });
    settings.tls.operators = Some(identity.clone());
    settings
}

/// Runs the command `status` with extra arguments; the error is the exit status.
async fn run_status(address: SocketAddr, extra_args: &[&str]) -> Result<(), u8> {
    let key = file("operator.key", "op_alice_secret\n");
    let (address, key) = (address.to_string(), key.display().to_string());
    let line = ["bergamotvale", "status", "--host", &address, "--key-file", &key];
    let line = line.iter().chain(extra_args).copied();
    let invocation = args::parse(line).expect("a valid command line");
    run::run(invocation).await.map_err(|error| error.exit_status())
}

#[tokio::test(flavor = "multi_thread")]
async fn the_authority_of_the_listener_is_trusted_and_no_other() {
    let platform = Server::start(Default::default()).expect("start the platform");
    let (own, other) = (identity("own"), identity("other"));
    let host = Daemon::start(settings(platform.address(), &own)).await.expect("start the host");
    let address = host.host.settings.listen.operators;
    let path = |path: &PathBuf| path.display().to_string();

    let trusted = run_status(address, &["--ca", &path(&own.certificate)]).await;
    let distrusted = run_status(address, &["--ca", &path(&other.certificate)]).await;
    let plain = run_status(address, &[]).await;
    let unreadable = run_status(address, &["--ca", "missing.pem"]).await;

    assert_eq!((trusted, distrusted, plain, unreadable), (Ok(()), Err(3), Err(3), Err(2)));
}
