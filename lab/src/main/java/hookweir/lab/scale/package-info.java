/**
 * Discrete-event simulation of a large fleet: simulated workers and schedulers share one virtual clock, and each scheduler runs its own
 * instance of the real decision module. Counts the messages and bytes on the wire. {@link hookweir.lab.scale.Simulation} runs one
 * simulation, {@link hookweir.lab.scale.Row} is its result.
 */
package hookweir.lab.scale;
