package hookweir.lab.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;

/** Writes the results of load runs as JSON and as charts. */
public final class LoadReport {
    private static final int WIDTH_PX = 1000;
    private static final int HEIGHT_PX = 600;

    private LoadReport() {
    }

    /** Writes NAME.json: the settings of the run and its measured steps. */
    public static void writeJson(Path folder, String name, Map<String, ?> setting, List<Step> steps) throws IOException {
        Files.createDirectories(folder);
        new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT)
            .writeValue(folder.resolve(name + ".json").toFile(), Map.of("setting", setting, "steps", steps));
    }

    /** Writes NAME.png: latency percentiles against goodput. */
    public static void writeLatencyChart(Path folder, String name, String title, List<Step> measured) throws IOException {
        if (measured.isEmpty()) {
            return;
        }
        List<Step> steps = measured.stream().sorted(Comparator.comparingDouble(Step::goodput)).toList();
        XYChart chart = new XYChartBuilder().width(WIDTH_PX).height(HEIGHT_PX).title(title).xAxisTitle("jobs served a second")
            .yAxisTitle("ms from the intended start").build();
        chart.getStyler().setYAxisLogarithmic(true).setLegendPosition(Styler.LegendPosition.InsideNW);
        double[] x = steps.stream().mapToDouble(Step::goodput).toArray();
        chart.addSeries("p50", x, steps.stream().mapToDouble(s -> Math.max(0.01, s.p50())).toArray());
        chart.addSeries("p99", x, steps.stream().mapToDouble(s -> Math.max(0.01, s.p99())).toArray());
        chart.addSeries("p99.9", x, steps.stream().mapToDouble(s -> Math.max(0.01, s.p999())).toArray());
        BitmapEncoder.saveBitmap(chart, folder.resolve(name + ".png").toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    /** Writes NAME.png: resident memory over time, with one step per minute. */
    public static void writeMemoryChart(Path folder, String name, String title, List<Step> steps) throws IOException {
        XYChart chart = new XYChartBuilder().width(WIDTH_PX).height(HEIGHT_PX).title(title).xAxisTitle("minute").yAxisTitle("resident MB").build();
        double[] x = new double[steps.size()];
        for (int i = 0; i < x.length; i++) {
            x[i] = i + 1;
        }
        chart.getStyler().setYAxisMin(0.0);
        chart.addSeries("resident MB", x, steps.stream().mapToDouble(Step::residentMb).toArray());
        BitmapEncoder.saveBitmap(chart, folder.resolve(name + ".png").toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
