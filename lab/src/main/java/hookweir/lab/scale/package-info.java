/**
 * The scale run: hollow workers and schedulers on one virtual clock, each scheduler with a decision module of its own, and what their
 * messages come to on the wire. {@link hookweir.lab.scale.World} puts a run together, {@link hookweir.lab.scale.Row} is its result.
 */
package hookweir.lab.scale;
