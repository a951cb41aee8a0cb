//! The `cleatshelf` binary.

fn main() -> std::process::ExitCode {
    cleatshelf::run(argh::from_env())
}
