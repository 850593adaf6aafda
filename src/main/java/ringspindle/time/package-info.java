/** The clock by which everything is judged that is due, late or too old. Uses no other package; used by all. */
package ringspindle.time;
