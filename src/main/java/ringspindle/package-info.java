/**
 * The program's entry point, which chooses between the two planes, the self-test and the command line.
 *
 * <p>Owns the process: its arguments, signals and exit code. Nothing uses this package.
 */
package ringspindle;
