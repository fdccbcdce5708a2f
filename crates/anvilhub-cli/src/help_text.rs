/// Help text of the tool.
pub(crate) const HELP: &str = "\
Operates the query tier anvilhub.

Usage: anvilhub COMMAND [ARGUMENTS]

Commands:
  check SHEET     Report every fault of a sheet
  diff OLD NEW    Show what changes from one sheet to another
  drain           Start a planned stop of an instance
  explain         Explain how an instance would route a request, or what happened to one
  query           Send one request
  state           Show the state of one or all instances

Options:
  -h, --help      Show this help; after a command, the help of the command
  -V, --version   Show the version

Exit codes: 0 success, 1 the answer is negative, 2 wrong usage or unreadable file,
3 an instance or the platform cannot be reached
";
