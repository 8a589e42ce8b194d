//! Tests that the command `stand-ins` publishes the rules file and each change to it.

use std::fs;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use wasabicrank_testutils::ports::free_port;

const BINARY: &str = env!("CARGO_BIN_EXE_wasabicrank");

/// The time limit for the stand-ins to start or to publish a change.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(20);

const RULES: &str = "model m revision 7 # Jo\nservice desk path /desk # Jo\n";

/// A running `stand-ins` process and its folder; dropping it ends the process and deletes the folder.
struct StandIns {
    child: Child,
    folder: PathBuf,
    platform: u16,
}

impl StandIns {
    fn start() -> StandIns {
        let folder =
            std::env::temp_dir().join(format!("wasabicrank-stand-ins-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder for the test");
        let platform = free_port();
        let settings = json!({
            "host": "entry-1", "zone": "zone-a", "ip": "127.0.0.1",
            "caller_port": free_port(), "operator_port": free_port(), "peer_port": free_port(),
            "platform": format!("127.0.0.1:{platform}"), "peer_key": "0f".repeat(32),
        });
        fs::write(folder.join("entry.json"), settings.to_string()).expect("settings are written");
        fs::write(folder.join("my.rules"), RULES).expect("rules are written");
        let child = Command::new(BINARY)
            .args(["stand-ins", "--rules", "my.rules", "--settings", "entry.json"])
            .current_dir(&folder)
            .stdout(Stdio::null())
            .spawn()
            .expect("the binary starts");
        StandIns { child, folder, platform }
    }

    /// Polls the platform until it returns a version later than `after`.
    async fn read(&self, path: &str, after: u64) -> Value {
        let client = reqwest::Client::builder().no_proxy().build().expect("a client");
        let url = format!("http://127.0.0.1:{}/{path}", self.platform);
        let url = format!("{url}?after={after}&wait_ms=500");
        let began = Instant::now();
        while began.elapsed() < PUBLISH_TIMEOUT {
            let answer = client.get(&url).send().await;
            match answer {
                Ok(answer) if answer.status() == 200 => {
                    return answer.json().await.expect("the answer is JSON");
                }
                _ => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
        panic!("the platform shows no version after {after}");
    }
}

impl Drop for StandIns {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

#[tokio::test]
async fn test_rules_and_hosts_are_published() {
    let stand_ins = StandIns::start();
    let config = stand_ins.read("config", 0).await;
    assert_eq!((config["version"].as_u64(), config["text"].as_str()), (Some(1), Some(RULES)));

    let live = stand_ins.read("live", 0).await;
    assert_eq!(live["entry_hosts"][0]["name"], "entry-1");
    assert_eq!(live["engines"].as_array().map(Vec::len), Some(15));
    assert_eq!(live["services"].as_array().map(Vec::len), Some(3));

    // Invalid rules are published too, so that users can observe entry hosts refuse them.
    fs::write(stand_ins.folder.join("my.rules"), "modle m # Jo\n").unwrap();
    let config = stand_ins.read("config", 1).await;
    assert_eq!(config["version"].as_u64(), Some(2));
    assert_eq!(config["text"].as_str(), Some("modle m # Jo\n"));
}

#[test]
fn test_wrong_use() {
    let output = Command::new(BINARY).args(["stand-ins", "--rules", "x"]).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("--settings FILE"));
}
