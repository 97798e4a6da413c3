/** The command line: one class for each subcommand. Start reading at {@link org.mustardlink.cli.Main}. */
package org.mustardlink.cli;
