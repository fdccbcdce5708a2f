/// Help of the tool as a whole.
pub(crate) const MAIN: &str = "\
Operates the query tier anvilhub.

Usage: anvilhub COMMAND [ARGUMENTS]

Commands:
  check SHEET     Report every fault of a sheet
  diff OLD NEW    Show what changes from one sheet to another

Options:
  -h, --help      Show this help; after a command, the help of the command
  -V, --version   Show the version

Exit codes: 0 success, 1 the answer is negative, 2 wrong usage or unreadable file
";
