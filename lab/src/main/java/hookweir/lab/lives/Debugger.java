package hookweir.lab.lives;

import com.sun.jdi.Bootstrap;
import com.sun.jdi.InvalidTypeException;
import com.sun.jdi.ObjectReference;
import com.sun.jdi.ReferenceType;
import com.sun.jdi.VMDisconnectedException;
import com.sun.jdi.VirtualMachine;
import com.sun.jdi.connect.AttachingConnector;
import com.sun.jdi.connect.Connector;
import com.sun.jdi.connect.IllegalConnectorArgumentsException;
import com.sun.jdi.event.BreakpointEvent;
import com.sun.jdi.event.Event;
import com.sun.jdi.event.EventSet;
import com.sun.jdi.request.BreakpointRequest;
import com.sun.jdi.request.EventRequest;
import java.io.IOException;
import java.util.Map;

/** Throws an Error in a scheduler's event loop from another process, through the Java Debug Interface, when the loop handles its next event. */
final class Debugger {
    /** The class and method of the loop's event handler: the only internal names of the scheduler that are used here. */
    private static final String LOOP_CLASS = "hookweir.net.Loop";
    private static final String LOOP_METHOD = "now";

    private Debugger() {
    }

    /** The JVM flag that lets {@link #throwErrorInLoop} attach to a scheduler. */
    static String jvmFlag(int port) {
        return "-agentlib:jdwp=transport=dt_socket,server=y,suspend=n,quiet=y,address=127.0.0.1:" + port;
    }

    /**
     * Throws the Error and returns once it has been thrown.
     *
     * @param beforeThrow runs when the breakpoint is ready, just before it is enabled
     */
    static void throwErrorInLoop(int port, Runnable beforeThrow) throws IOException, InterruptedException {
        AttachingConnector connector = Bootstrap.virtualMachineManager().attachingConnectors().stream()
            .filter(c -> c.transport().name().equals("dt_socket")).findFirst()
            .orElseThrow(() -> new IOException("this JDK has no socket-attaching debugger connector"));
        Map<String, Connector.Argument> arguments = connector.defaultArguments();
        arguments.get("hostname").setValue("127.0.0.1");
        arguments.get("port").setValue(Integer.toString(port));
        try {
            VirtualMachine vm = connector.attach(arguments);
            ReferenceType loop = vm.classesByName(LOOP_CLASS).get(0);
            ObjectReference error = vm.classesByName("java.lang.OutOfMemoryError").get(0).instances(1).get(0); // the JVM preallocates some
            BreakpointRequest breakpoint = vm.eventRequestManager().createBreakpointRequest(loop.methodsByName(LOOP_METHOD).get(0).location());
            breakpoint.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
            beforeThrow.run();
            breakpoint.enable();
            while (true) {
                EventSet events = vm.eventQueue().remove();
                for (Event event : events) {
                    if (event instanceof BreakpointEvent hit) {
                        breakpoint.disable();
                        hit.thread().stop(error);
                        events.resume();
                        vm.dispose();
                        return;
                    }
                }
                events.resume();
            }
        } catch (VMDisconnectedException e) {
            return; // the process ended before the debugger detached
        } catch (IllegalConnectorArgumentsException | InvalidTypeException e) {
            throw new IOException("the debugger could not throw an Error in the loop: " + e, e);
        }
    }
}
