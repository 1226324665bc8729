//! Prints the table of `docs/ERRORS.md`.

fn main() {
    print!("{}", eelgrassramp::errors_to_markdown());
}
