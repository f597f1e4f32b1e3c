package hookweir.net;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP. A JVM without a handler exits on it, so a handler is installed before the configuration is read, and a signal
 * that arrives before a task is set is remembered. The class library has no public interface for signals. The unsupported one is
 * called by reflection, because any direct reference to it causes a compiler warning.
 */
final class SighupHandler {
    /** Guarded, like {@link #signalPending}, by the lock of this class. */
    private static Runnable handler;
    private static boolean signalPending;

    private SighupHandler() {
    }

    /** Installs the handler; from now on the process does not exit on SIGHUP. */
    static void install() {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(handlerClass.getClassLoader(), new Class<?>[] {handlerClass}, (self, method, args) -> {
                if (method.getName().equals("handle")) {
                    handleSignal();
                }
                return null;
            });
            signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signalClass.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ReflectiveOperationException e) {
            Log.line("SIGHUP can't be handled: " + e);
        }
    }

    /** Runs the task on a separate thread for every signal from now on, and once if a signal has already arrived. */
    static synchronized void onSignal(Runnable newHandler) {
        handler = newHandler;
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
