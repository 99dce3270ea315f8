package coordinator

type waves struct{}

func (w *waves) init() {}

func (t *Term) runWaves() {}
