# Plots the results of bench_measures as SVG. Usage, from the root of the repository:
#   build/bench/bench_measures | tee measures.tsv
#   gnuplot -e "input='measures.tsv'" bench/plots.gp
# Each plot shows the medians of the baseline and the chosen policies side by side; error bars show the minimum and maximum.
if (!exists("input")) input = "measures.tsv"
set terminal svg size 960,420 font "sans,11" background "white"
set datafile separator "\t"
set style data boxes
set style fill solid 0.6 border -1
set boxwidth 0.35
set grid ytics
set xtics rotate by -20 font ",9" noenhanced
set key outside top right horizontal
set bmargin 9
set yrange [0:*]

# Rows of the summary table at the end: measure, site, variant, policy, median, minimum, maximum, runs.
rows(measure, policy) = sprintf("< awk -F'\t' '$1==\"%s\" && $4==\"%s\" && NF==8' %s", measure, policy, input)

do for [plot in "detection:ms false_ejections:workers crest:share short_behind_long:ratio"] {
  measure = plot[1:strstrt(plot, ":") - 1]
  unit = plot[strstrt(plot, ":") + 1:*]
  set output sprintf("docs/plots/%s.svg", measure)
  set title measure noenhanced
  set ylabel unit
  plot rows(measure, "baseline") using ($0 - 0.2):5:xtic(sprintf("%s: %s", strcol(2), strcol(3))) title "baseline", \
       rows(measure, "chosen") using ($0 + 0.2):5 title "chosen", \
       rows(measure, "baseline") using ($0 - 0.2):5:6:7 with yerrorbars notitle lc rgb "black" pt 0, \
       rows(measure, "chosen") using ($0 + 0.2):5:6:7 with yerrorbars notitle lc rgb "black" pt 0
}
