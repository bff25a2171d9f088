/** Command-line interface: one binary whose subcommands start nodes, stand-ins and tools. */
package dev.wisteriarail.cli;
