/**
 * Settings of a node and the configuration of the fleet: reading, validation, errors.
 *
 * <p>Owns no state but the settings in force ({@link ringspindle.config.Settings}). Uses {@code protocol} for addresses
 * only.
 */
package ringspindle.config;
