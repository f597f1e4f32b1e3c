package hookweir.lab.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Every row of a trace is used, ignored or skipped for a reason; errors in invalid files name the location. */
final class TraceReaderTest {
    @TempDir
    Path directory;

    private final List<TraceJob> jobs = new ArrayList<>();

    private Path file(String name, String text) throws IOException {
        return Files.write(directory.resolve(name), text.getBytes(StandardCharsets.UTF_8));
    }

    private TraceReader read(String format, Path... files) throws IOException {
        TraceReader r = new TraceReader(List.of(files), format);
        r.read(jobs::add);
        assertTrue(r.statistics().isBalanced(), "rows != used + ignored + skipped");
        return r;
    }

    private static Map<String, Long> skipped(TraceReader r) {
        Map<String, Long> out = new TreeMap<>();
        r.statistics().skipped().forEach((reason, skippedRows) -> out.put(reason.toString(), skippedRows.count));
        return out;
    }

    private static String task(Object at, Object job, int index, Object event) {
        return at + ",," + job + "," + index + ",,"  + event + ",user,2,9,0.1,0.1,0.1,0\n";
    }

    @Test
    void googleRunsLastFromScheduleToEndEvent() throws IOException {
        String rows = task(0, 1, 0, 1) + task(100, 2, 0, 0) + task(200, 2, 0, 1) + task(150, 3, 0, 1) + task(700, 2, 0, 4) + task(160, 3, 0, 5)
            + task(800, 4, 0, 2) + task(900, 1, 0, 4) + task(950, 5, 1, 1) + task("", 5, 0, 1) + task("x", 5, 0, 1) + task(-4, 5, 0, 1)
            + task(960, 5, 0, 9) + task(Long.MAX_VALUE, 5, 1, 4) + task(970, 6, 0, 1) + task(970, 6, 0, 4) + "980,,7\n";
        TraceReader r = read("auto", file("g.csv", rows));
        assertEquals("google-2011", r.format());
        assertEquals(List.of(200L, 150L, 970L), jobs.stream().map(TraceJob::startUs).toList());
        assertEquals(List.of(500L, 10L, 1000L), jobs.stream().map(TraceJob::durationUs).toList());
        assertEquals(9, jobs.get(0).priority());
        assertEquals(Map.of("after-trace", 1L, "bad-number", 1L, "before-trace", 2L, "missing-column", 1L, "missing-value", 1L, "no-end", 1L,
            "no-start", 1L, "out-of-range", 1L, "unknown-event", 1L), skipped(r));
        assertEquals(17, r.statistics().rows);
        assertEquals(6, r.statistics().used);
        assertEquals(1, r.statistics().ignored);
        assertEquals(1, r.statistics().adjusted);
        assertEquals(1, r.statistics().outOfOrder);
        assertEquals(List.of(directory.resolve("g.csv") + ":7"), r.statistics().skipped().get(SkipReason.NO_START).locations);
    }

    @Test
    void alibabaRowYieldsOneJobPerInstance() throws IOException {
        TraceReader r = read("auto", file("a.csv", "task_a,3,j_1,1,Terminated,10,12,100,0.5\ntask_b,1,j_2,1,Running,10,0,100,0.5\n"
            + "task_c,1,j_2,1,Terminated,0,9,100,0.5\ntask_d,1,j_2,1,Failed,12,11,100,0.5\ntask_e,1,j_3,1,Waiting,,,,\n"));
        assertEquals("alibaba-2018", r.format());
        assertEquals(Collections.nCopies(3, 2_000_000L), jobs.stream().map(TraceJob::durationUs).toList());
        assertEquals(Map.of("before-trace", 1L, "missing-value", 1L, "no-end", 1L, "out-of-range", 1L), skipped(r));
    }

    /** A byte-order mark, CRLF, quoted commas and line breaks, gzip and several files make no difference. */
    @Test
    void azureRowsAreReadInAnyCsvEncoding() throws IOException {
        String text = "\ufeffapp,func,end_timestamp,duration\r\n\"a,\n1\",f,10.5,0.25\r\n\r\nb,g,3,5\r\nb,g,9.000001,0\r\n";
        ByteArrayOutputStream zipped = new ByteArrayOutputStream();
        try (GZIPOutputStream out = new GZIPOutputStream(zipped)) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        }
        Path gz = Files.write(directory.resolve("z.csv.gz"), zipped.toByteArray());
        TraceReader r = read("auto", gz, file("z.csv", text));
        assertEquals("azure-functions-2021", r.format());
        assertEquals(List.of(10_250_000L, 9_000_001L, 10_250_000L, 9_000_001L), jobs.stream().map(TraceJob::startUs).toList());
        assertEquals(List.of(250_000L, 1000L, 250_000L, 1000L), jobs.stream().map(TraceJob::durationUs).toList());
        assertEquals(jobs.get(0), jobs.get(2));
        assertEquals(Map.of("before-trace", 2L), skipped(r));
        assertEquals(6, r.statistics().rows);
    }

    @Test
    void truncatedFileIsReadUpToTheBreak() throws IOException {
        String text = task(200, 2, 0, 1) + task(700, 2, 0, 4);
        TraceReader r = read("google-2011", file("cut.csv", text + "800,,9,0"));
        assertEquals(directory.resolve("cut.csv") + ":3: the file is truncated in the middle of a row", r.truncation());
        assertEquals(2, r.statistics().rows);
        assertEquals(1, jobs.size());
        assertNull(read("google-2011", file("whole.csv", text.strip())).truncation()); // the last line may lack its line end

        StringBuilder many = new StringBuilder();
        Random random = new Random(5);
        for (int i = 1; i < 3000; i++) {
            many.append(task(i, random.nextInt(1 << 30), 0, 0));
        }
        ByteArrayOutputStream zipped = new ByteArrayOutputStream();
        try (GZIPOutputStream out = new GZIPOutputStream(zipped)) {
            out.write(many.toString().getBytes(StandardCharsets.UTF_8));
        }
        Path half = Files.write(directory.resolve("half.gz"), Arrays.copyOf(zipped.toByteArray(), zipped.size() / 2));
        TraceReader broken = read("google-2011", half);
        assertTrue(broken.truncation().contains("half.gz:") && broken.truncation().contains("the compressed file is truncated after this row"),
            broken.truncation());
        assertTrue(broken.statistics().rows > 500 && broken.statistics().rows < 2999, "rows " + broken.statistics().rows);
    }

    @Test
    void invalidFilesAreRejectedWithAReason() throws IOException {
        Path zero = Files.write(directory.resolve("bin"), new byte[] {'1', ',', 0, 4});
        Path gz = Files.write(directory.resolve("bad.gz"), new byte[] {0x1f, (byte) 0x8b, 9, 9, 9});
        for (Object[] c : new Object[][] {{directory, "is a directory"}, {file("empty", ""), "contains no rows"},
            {zero, "is not a text file (zero byte at offset 2)"}, {gz, "invalid gzip data"},
            {file("odd", "a,b\n1,2\n"), ":1: the row matches no known format (2 columns)"}}) {
            IOException e = assertThrows(IOException.class, () -> read("auto", (Path) c[0]));
            assertTrue(e.getMessage().startsWith(c[0].toString()) && e.getMessage().contains((String) c[1]), e.getMessage());
        }
        IOException e = assertThrows(IOException.class, () -> read("azure-functions-2021", file("h", "app,func,end,duration\n")));
        assertTrue(e.getMessage().endsWith(":1: column 3 is 'end', not 'end_timestamp' as in azure-functions-2021"), e.getMessage());
        assertTrue(assertThrows(IOException.class, () -> read("excel", directory)).getMessage().startsWith("--format: 'excel'"));
    }

    /** The order is the same with and without temporary files, whatever the order of the rows. */
    @Test
    void jobsAreSortedInBoundedMemory() throws IOException {
        Random random = new Random(3);
        List<TraceJob> all = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            all.add(new TraceJob(random.nextInt(200), 1 + random.nextInt(50), random.nextInt(9), 0));
        }
        List<TraceJob> expected = new ArrayList<>(all);
        Collections.sort(expected);
        for (int inMemory : new int[] {64, 5000}) {
            Collections.shuffle(all, random);
            List<TraceJob> actual = new ArrayList<>();
            try (JobSorter sorter = new JobSorter(inMemory)) {
                for (TraceJob j : all) {
                    sorter.accept(j);
                }
                assertEquals(1000, sorter.count());
                sorter.forEachSorted(actual::add);
            }
            assertEquals(expected, actual);
        }
    }
}
