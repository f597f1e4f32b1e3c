package hookweir.net;

import java.lang.reflect.Proxy;

/**
 * SIGHUP. A JVM without a handler ends on it, so there is one before the configuration is read; what comes until somebody
 * heeds it is kept. The class library has no public interface for signals; the unsupported one is called by reflection, as
 * its name alone is a compiler warning.
 */
final class SighupHandler {
    /** Both guarded by this class. */
    private static Runnable handler;
    private static boolean signalPending;

    private SighupHandler() {
    }

    /** From now on the process lives through it. */
    static void install() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object made = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, (self, method, args) -> {
                if (method.getName().equals("handle")) {
                    handleSignal();
                }
                return null;
            });
            signal.getMethod("handle", signal, handler).invoke(null, signal.getConstructor(String.class).newInstance("HUP"), made);
        } catch (ReflectiveOperationException e) {
            Log.line("SIGHUP can't be handled: " + e);
        }
    }

    /** From now on each one, and one that came before, runs the task, on a thread of its own. */
    static synchronized void onSignal(Runnable newTask) {
        handler = newTask;
        if (signalPending) {
            signalPending = false;
            new Thread(handler, "hang-up").start();
        }
    }

    private static synchronized void handleSignal() {
        if (handler == null) {
            signalPending = true;
        } else {
            handler.run();
        }
    }
}
