package hookweir.lab.record;

import hookweir.lab.check.Event;

/** Receives the events that stubs and clients observe, in order; the sink sets their time. Safe for use by any thread. */
public interface EventSink {
    /** Discards all events. */
    EventSink NONE = new EventSink() {
        @Override
        public void accept(Event event) {
            // discards the event
        }

        @Override
        public boolean isEnabled() {
            return false;
        }
    };

    /** Accepts an event that was observed just now; the time in the event is ignored. */
    void accept(Event event);

    /** False if events are discarded, so that callers need not create them. */
    default boolean isEnabled() {
        return true;
    }
}
