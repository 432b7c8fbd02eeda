//! The operators' HTTP interface: authentication, changes and answers.

mod control_kit;

use std::net::SocketAddr;
use std::sync::Arc;

use control_kit::{change, put_workspace, until, within, Cluster};
use pomelovale_state::command::{Applied, Command};
use pomelovale_state::document::{Digest, KeyHolder};
use pomelovale_state::{Clock, Name};
use pomelovaled::operators::{OperatorServer, OperatorServerConfig, OperatorServerSources};
use serde_json::{json, Value};

const BOOTSTRAP: &str = "a bootstrap key of the tests";
const OPERATOR: &str = "pk.op1.secret-of-op1";
const REVOKED: &str = "pk.op2.secret-of-op2";
const WORKSPACE: &str = "pk.w1.secret-of-w1";

fn digest(text: &str) -> Digest {
    Digest::of_key(text)
}

fn put_key(text: &str, holder: KeyHolder) -> Command {
    let id = text.split('.').nth(1).unwrap();
    Command::PutKey {
        id: Name::from(id),
        holder,
        digest: digest(text),
    }
}

fn operator(name: &str) -> KeyHolder {
    KeyHolder::Operator(Name::from(name))
}

struct Site {
    cluster: Cluster,
    operators: OperatorServer,
    clock: Clock,
}

/// Starts one control instance with an operators' listener and proposes `keys`.
/// Tests advance the clock of the site to make the view outdated.
async fn site(keys: &[Command]) -> Site {
    let cluster = Cluster::start(1).await;
    for (n, command) in keys.iter().enumerate() {
        let sent = change(&format!("setup-{n}"), command.clone());
        let applied = cluster.propose(0, sent).await;
        assert!(matches!(applied, Applied::Accepted { .. }), "{applied:?}");
    }
    let server = cluster.server(0);
    let (view, clock) = (server.view(), cluster.clocks[0].clone());
    until("the view is current", || {
        view.is_fresh_for_keys(clock.now())
    })
    .await;
    let config = OperatorServerConfig {
        listen: "127.0.0.1:0".parse().unwrap(),
        bootstrap: Some(digest(BOOTSTRAP)),
    };
    let sources = OperatorServerSources {
        handle: server.handle(),
        view,
        clock: clock.clone(),
        status: Arc::new(|| json!({ "part": "status" })),
        moves: Arc::new(|| json!([])),
        metrics: Arc::new(|| "up 1\n".to_string()),
    };
    let operators = OperatorServer::start(config, sources).unwrap();
    Site {
        cluster,
        operators,
        clock,
    }
}

/// A site with the keys of two operators, one of them revoked, and the key of a
/// workspace.
async fn keyed_site() -> Site {
    let revoke = Command::RevokeKey(Name::from("op2"));
    site(&[
        put_workspace("w", 10),
        put_key(OPERATOR, operator("ada")),
        put_key(REVOKED, operator("bob")),
        put_key(WORKSPACE, KeyHolder::Workspace(Name::from("w"))),
        revoke,
    ])
    .await
}

fn send_request(address: SocketAddr, path: &str, key: &str, body: Option<String>) -> (u16, String) {
    let url = format!("http://{address}{path}");
    let request = match body {
        None => minreq::get(url),
        Some(body) => minreq::post(url).with_body(body),
    };
    let request = match key {
        "" => request,
        key => request.with_header("Authorization", format!("Bearer {key}")),
    };
    let response = request.with_timeout(60).send().unwrap();
    let status = response.status_code;
    (status, response.as_str().unwrap().to_string())
}

impl Site {
    async fn get(&self, path: &'static str, key: &'static str) -> (u16, String) {
        let address = self.operators.address();
        let sent = tokio::task::spawn_blocking(move || send_request(address, path, key, None));
        within("an answer", sent).await.unwrap()
    }

    async fn post(&self, key: &'static str, body: String) -> (u16, Value) {
        let address = self.operators.address();
        let sent = move || send_request(address, "/v1/changes", key, Some(body));
        let sent = tokio::task::spawn_blocking(sent);
        let (status, body) = within("an answer", sent).await.unwrap();
        (status, serde_json::from_str(&body).unwrap())
    }

    fn version(&self) -> u64 {
        self.cluster.server(0).view().document().version
    }
}

macro_rules! keys {
    ($($name:ident: $path:expr, $key:expr => $status:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let site = keyed_site().await;
            let (status, body) = site.get($path, $key).await;
            assert_eq!(status, $status, "{body}");
        }
    )*};
}

// Guards against requests that are served without the valid key of an operator.
keys! {
    operators_key: "/v1/status", OPERATOR => 200;
    operators_key_and_document: "/v1/document", OPERATOR => 200;
    operators_key_and_unknown_path: "/v1/nothing", OPERATOR => 404;
    no_key: "/v1/document", "" => 401;
    revoked_key: "/v1/status", REVOKED => 401;
    key_of_a_workspace: "/v1/status", WORKSPACE => 401;
    secret_of_another_operator: "/v1/status", "pk.op1.secret-of-op2" => 401;
    unknown_key: "/v1/status", "pk.op9.secret" => 401;
    bootstrap_key_beside_operators: "/v1/status", BOOTSTRAP => 401;
    metrics_need_no_key: "/metrics", "" => 200;
}

// Guards against a first operator who can't authenticate, and against a bootstrap
// key that is still accepted once there is an operator.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_bootstrap_key_works_until_there_is_an_operator() {
    let site = site(&[]).await;
    let command = json!({ "put_key": {
        "id": "op1", "holder": { "operator": "ada" }, "digest": digest(OPERATOR),
    }});
    let body = json!({ "request": "first", "base": 0, "command": command }).to_string();
    let (status, answer) = site.post(BOOTSTRAP, body.clone()).await;
    assert_eq!((status, &answer["outcome"]), (200, &json!("accepted")));
    let view = site.cluster.server(0).view();
    until("the operator's key is in the view", || {
        view.document().version == 1
    })
    .await;
    assert_eq!(site.post(BOOTSTRAP, body.clone()).await.0, 401);
    assert_eq!(site.post(OPERATOR, body).await, (200, answer));
    assert_eq!(site.version(), 1);
}

// Guards against a key that was revoked while this instance was disconnected: an
// outdated view must refuse all keys.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outdated_view_refuses_operator_keys() {
    let mut site = keyed_site().await;
    assert_eq!(site.get("/v1/status", OPERATOR).await.0, 200);
    site.cluster.kill(0).await;
    site.clock.advance(10_000);
    assert_eq!(site.get("/v1/status", OPERATOR).await.0, 503);
    assert_eq!(site.get("/metrics", "").await.0, 200);
}

fn set_rate(request: &str, base: u64, rate: u64) -> String {
    let workspace = json!({ "rate": rate, "burst": rate });
    let command = json!({ "put_workspace": { "name": "w", "workspace": workspace } });
    json!({ "request": request, "base": base, "command": command }).to_string()
}

// Guards against a resend that is applied twice, and against a conflict whose
// answer doesn't name the accepted change.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_gets_first_answer_and_conflict_names_winner() {
    let site = keyed_site().await;
    let before = site.version();
    let first = site.post(OPERATOR, set_rate("r1", 1, 20)).await;
    let expected = json!({ "outcome": "accepted", "version": before + 1, "item": 2 });
    assert_eq!(first, (200, expected));
    assert_eq!(site.post(OPERATOR, set_rate("r1", 1, 20)).await, first);
    let (status, lost) = site.post(OPERATOR, set_rate("r2", 1, 30)).await;
    assert_eq!((status, &lost["code"]), (409, &json!("version-conflict")));
    let winner = json!({ "sender": "ada", "request": "r1", "version": 2 });
    assert_eq!(lost["winner"], winner);
    assert_eq!(site.version(), before + 1);
}

macro_rules! refused_changes {
    ($($name:ident: $body:expr => $status:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let site = keyed_site().await;
            let before = site.version();
            let (status, answer) = site.post(OPERATOR, $body).await;
            assert_eq!((status, &answer["outcome"]), ($status, &json!("refused")), "{answer}");
            assert_eq!(site.version(), before);
        }
    )*};
}

// Guards against invalid bodies that reach the log or stop the listener.
refused_changes! {
    empty_body: String::new() => 400;
    body_is_not_json: "{".to_string() => 400;
    unknown_command: json!({ "request": "r", "command": { "explode": {} } }).to_string() => 400;
    unknown_field: json!({ "request": "r", "sender": "eve", "command": { "revoke_key": "w1" } }).to_string() => 400;
    request_without_a_name: json!({ "request": "", "command": { "revoke_key": "w1" } }).to_string() => 400;
    command_of_an_instance: json!({ "request": "r", "command": { "record_crash": {
        "fingerprint": digest("f"), "backend": "b" } } }).to_string() => 400;
    body_over_the_limit: "x".repeat(1024 * 1024 + 1) => 413;
    change_over_the_limit: json!({ "request": "r", "command": { "step_move": {
        "name": "m", "action": { "hold": { "reason": "x".repeat(700 * 1024) } } } } }).to_string() => 413;
    unknown_move: json!({ "request": "r", "command": { "step_move": {
        "name": "m", "action": "release" } } }).to_string() => 404;
}
