//! `wasabicrank hash-token`: computes the hash of a caller's token that a customer rule contains.

use std::io::Read;

use argh::FromArgs;
use wasabicrank_lib::protocol::hash_token;

use crate::output::Exit;
use crate::output::print;
use crate::output::print_stderr;

/// The minimum length of a token; a shorter one can be found from its hash by brute force.
const MIN_TOKEN_CHARS: usize = 16;

/// The maximum length of a token, which must fit into a request header.
const MAX_TOKEN_CHARS: usize = 512;

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
        // Reads at most one byte more than the longest token with a CRLF line ending, which is enough
        // to detect a token that is too long.
        let limit = MAX_TOKEN_CHARS as u64 + 3;
        if let Err(error) = std::io::stdin().lock().take(limit).read_to_string(&mut text) {
            print_stderr(&format!("standard input cannot be read: {error}"));
            return Exit::Failure;
        }
        match checked_hash(text.trim_end_matches(['\r', '\n'])) {
            Some(hash) => print(&format!("blake3:{hash}\n")),
            None => {
                print_stderr(&format!(
                    "standard input: expected one token of {MIN_TOKEN_CHARS} to {MAX_TOKEN_CHARS} \
                     printable ASCII characters without blanks"
                ));
                Exit::Failure
            }
        }
    }
}

/// Returns the hash that an entry host computes from the same token, in hexadecimal, or `None` if
/// the token is not valid.
fn checked_hash(token: &str) -> Option<String> {
    let bounds = MIN_TOKEN_CHARS..=MAX_TOKEN_CHARS;
    if !bounds.contains(&token.len()) || !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        return None;
    }
    Some(hash_token(token).iter().map(|byte| format!("{byte:02x}")).collect())
}
