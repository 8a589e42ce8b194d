//! `wasabicrank hash-token`: turns a caller's token into the form that the rules hold.

use std::io::Read;

use argh::FromArgs;
use wasabicrank_lib::protocol::hash_token;

use crate::output::Exit;
use crate::output::complain;
use crate::output::print;

/// The fewest characters of a token; a shorter one can be guessed from its hash.
const LEAST_CHARS: usize = 16;

/// The most characters of a token, which must fit into a header.
const MOST_CHARS: usize = 512;

/// Read a caller's token from standard input and print its hash for a customer rule. The token
/// itself is neither stored nor shown.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "hash-token",
    example = "{command_name} < token.txt",
    example = "head -c 24 /dev/urandom | base64 | tee token.txt | {command_name}",
    error_code(0, "the hash is on standard output"),
    error_code(1, "standard input holds no usable token"),
    error_code(2, "wrong use of the command line")
)]
pub(crate) struct HashToken {}

impl HashToken {
    /// Reads the token and prints its hash.
    pub(crate) fn run(self) -> Exit {
        let mut text = String::new();
        // One more than the longest token with its line end is enough to tell that it is too long.
        let limit = MOST_CHARS as u64 + 3;
        if let Err(error) = std::io::stdin().lock().take(limit).read_to_string(&mut text) {
            complain(&format!("standard input cannot be read: {error}"));
            return Exit::Failure;
        }
        match hash(text.trim_end_matches(['\r', '\n'])) {
            Some(hash) => print(&format!("blake3:{hash}\n")),
            None => {
                complain(&format!(
                    "standard input: expected one token of {LEAST_CHARS} to {MOST_CHARS} printable \
                     ASCII characters without blanks"
                ));
                Exit::Failure
            }
        }
    }
}

/// Returns the hash that an entry host computes from the same token, in hex digits.
fn hash(token: &str) -> Option<String> {
    let bounds = LEAST_CHARS..=MOST_CHARS;
    if !bounds.contains(&token.len()) || !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        return None;
    }
    Some(hash_token(token).iter().map(|byte| format!("{byte:02x}")).collect())
}
