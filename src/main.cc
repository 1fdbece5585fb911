#include <span>

#include "cli/cli.h"

int main(int argc, char** argv) {
  return citronferry::cli::RunCli(std::span<char*>(argv, static_cast<size_t>(argc)));
}
