package hookweir.lab.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.lines.SeriesLines;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Writes results as JSON and linear fits as charts. */
final class ScaleReport {
    private static final int WIDTH = 1000;
    private static final int HEIGHT = 600;

    private ScaleReport() {
    }

    /** Writes the rows to NAME.json. */
    static void writeJson(Path folder, String name, Object rows) throws IOException {
        Files.createDirectories(folder);
        new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValue(folder.resolve(name + ".json").toFile(), rows);
    }

    /** Writes a chart with the measured values and the fitted lines to NAME.png. */
    static void writeChart(Path folder, String name, String title, String xTitle, String yTitle, List<LinearFit> fits) throws IOException {
        Files.createDirectories(folder);
        XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).title(title).xAxisTitle(xTitle).yAxisTitle(yTitle).build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideS);
        chart.getStyler().setYAxisMin(0.0);
        for (LinearFit fit : fits) {
            double[] x = fit.x();
            chart.addSeries(fit.cost(), x, fit.y());
            double[] ends = {Arrays.stream(x).min().orElse(0), Arrays.stream(x).max().orElse(0)};
            chart.addSeries(fit.cost() + ", fitted below the target", ends, Arrays.stream(ends).map(fit::valueAt).toArray())
                .setMarker(SeriesMarkers.NONE).setLineStyle(SeriesLines.DASH_DASH);
        }
        BitmapEncoder.saveBitmap(chart, folder.resolve(name + ".png").toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
