/**
 * Logging: the JSON format of log lines and the names of their fields.
 *
 * <p>Owns the process's logging configuration, which {@code Main} installs, and uses no other package. Code logs
 * through Flogger.
 */
package ringspindle.logging;
