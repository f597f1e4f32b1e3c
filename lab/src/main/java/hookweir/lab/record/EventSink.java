package hookweir.lab.record;

import hookweir.lab.check.Event;

/** Takes what a stand-in or a client sees, in the order seen; the time is the witness's own. Any thread. */
public interface EventSink {
    /** Nobody writes it down. */
    EventSink NONE = new EventSink() {
        @Override
        public void accept(Event e) {
            // nobody asked
        }

        @Override
        public boolean isEnabled() {
            return false;
        }
    };

    /** Something was seen just now; the event's own time is of no meaning. */
    void accept(Event e);

    /** False where nobody writes it down, so that events need not be made. */
    default boolean isEnabled() {
        return true;
    }
}
