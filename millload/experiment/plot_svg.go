package experiment

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a drawn plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// WriteFile draws the plot into a file. The extension of the path selects the format, such
// as .svg or .png. It fails if a point is not finite or the file cannot be written.
func (p *Plot) WriteFile(path string) error {
	drawing := plot.New()
	drawing.Title.Text = p.Title
	drawing.X.Label.Text = p.X
	drawing.Y.Label.Text = p.Y
	var lines []any
	for _, line := range p.Lines {
		points := make(plotter.XYs, len(line.Points))
		for i, point := range line.Points {
			points[i] = plotter.XY{X: point[0], Y: point[1]}
		}
		lines = append(lines, line.Name, points)
	}
	if err := plotutil.AddLinePoints(drawing, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(drawing.Save(plotWidth, plotHeight, path), "plot cannot be written; name a writable file that ends in .svg or .png")
}
