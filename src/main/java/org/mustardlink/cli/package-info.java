/** The command line. Start reading at {@link org.mustardlink.cli.Main}. */
package org.mustardlink.cli;
