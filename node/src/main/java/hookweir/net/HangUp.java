package hookweir.net;

import java.lang.reflect.Proxy;

/**
 * SIGHUP. A JVM without a handler ends on it. The class library has no public interface for signals; the
 * unsupported one is called by reflection, as its name alone is a compiler warning.
 */
final class HangUp {
    private HangUp() {
    }

    /** From now on each SIGHUP runs the task, on a thread of its own. */
    static void handle(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object made = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, (self, method, args) -> {
                if (method.getName().equals("handle")) {
                    task.run();
                }
                return null;
            });
            signal.getMethod("handle", signal, handler).invoke(null, signal.getConstructor(String.class).newInstance("HUP"), made);
        } catch (ReflectiveOperationException e) {
            Log.line("SIGHUP can't be handled: " + e);
        }
    }
}
