package org.mustardlink.load;

import com.google.common.collect.ImmutableMap;
import java.io.File;
import java.io.IOException;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/** Plots the distributions of the ratio of response time to ideal response time. */
public final class DistributionPlot {
    private static final int WIDTH = 1000;
    private static final int HEIGHT = 600;
    private static final int TICKS_PER_HALF_DISTANCE = 20;

    private DistributionPlot() {}

    /**
     * Writes a PNG file that shows, for each policy, the share of jobs above each ratio on logarithmic axes.
     *
     * @param file file to write
     * @param group name of the group of jobs to plot
     * @param results one result for each policy
     * @throws CodedException if the file cannot be written
     */
    public static void writePng(File file, String group, List<LoadRun.Result> results) {
        XYSeriesCollection dataset = new XYSeriesCollection();
        for (LoadRun.Result result : results) {
            ImmutableMap<String, Histogram> ratios = result.ratios();
            if (ratios.containsKey(group)) {
                dataset.addSeries(series(result.report().policy(), ratios.get(group)));
            }
        }
        JFreeChart chart = ChartFactory.createXYLineChart(
                results.get(0).report().settings(), "response / ideal", "share of jobs beyond", dataset);
        chart.getXYPlot().setDomainAxis(new LogAxis("response / ideal"));
        chart.getXYPlot().setRangeAxis(new LogAxis("share of jobs beyond"));
        chart.getTitle().setFont(chart.getTitle().getFont().deriveFont(10f));
        try {
            ChartUtils.saveChartAsPNG(file, chart, WIDTH, HEIGHT);
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot write the plot " + file, e);
        }
    }

    private static XYSeries series(String name, Histogram ratio) {
        XYSeries series = new XYSeries(name);
        for (HistogramIterationValue value : ratio.percentiles(TICKS_PER_HALF_DISTANCE)) {
            double beyond = 1 - value.getPercentileLevelIteratedTo() / 100;
            if (beyond > 0) {
                series.add(value.getValueIteratedTo() / 1000.0, beyond);
            }
        }
        return series;
    }
}
