package hookweir.adapter;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/** Entry point of the simulator adapter: {@code java -jar hookweir.jar adapter}. */
public final class Main {
    private Main() {
    }

    /** Runs the adapter on standard input and output and exits. */
    public static void main(String[] args) {
        int status;
        if (args.length == 1 && args[0].equals("adapter")) {
            InputStream in = new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16);
            status = run(in, new FileOutputStream(FileDescriptor.out), System.err);
        } else {
            System.err.println("usage: java -jar hookweir.jar adapter   (simulator protocol on standard input and output)");
            status = 2;
        }
        System.err.flush();
        System.exit(status);
    }

    /** Processes frames until the input ends; returns the exit status. */
    static int run(InputStream in, OutputStream out, PrintStream err) {
        try {
            new Session(in, out).run();
            return 0;
        } catch (InvalidInputException e) {
            err.println("hookweir adapter: " + e.getMessage());
            return 1;
        } catch (IOException e) {
            err.println("hookweir adapter: I/O error: " + e.getMessage());
            return 1;
        }
    }
}
